"""Odd values that another writer leaves among the keys of a journal."""

import time
import unittest

import trio
import trio.testing

from trefoilhook.clock import build_system_clock
from trefoilhook.decoding.tests.odd_values import MAX_DECODING_S, build_odd_documents
from trefoilhook.exceptions import DecodeError, StoreUnavailableError
from trefoilhook.jobs import JobRecord, RecordKind
from trefoilhook.jobs.core import Attempt, JobSpec
from trefoilhook.journal import JournalSettings, open_journal
from trefoilhook.journal.pages import (
    Head,
    Page,
    decode_head,
    decode_page,
    encode_head,
    encode_page,
)
from trefoilhook.placement import Resources, TaskKind
from trefoilhook.standins.virtual import VirtualStore, VirtualStoreClient
from trefoilhook.store import SwapRequest

_SPEC = JobSpec(
    job_id="j",
    team="t",
    name="n",
    kind=TaskKind.SERVICE,
    is_urgent=True,
    is_idempotent=True,
    resources=Resources(cores=1.0, memory_bytes=1),
    declared_run_ms=5,
    payload="p",
    task_class="c",
    submitted_ms=1.0,
)
_RECORD = JobRecord(
    kind=RecordKind.ACCEPTED,
    job_id="j",
    spec=_SPEC,
    attempt=Attempt(epoch=1, sequence=2),
    worker_id="w",
    host="127.0.0.1",
    port=9,
    at_ms=5.0,
)
_PAGE = Page(epoch=1, nonce="n", records=(_RECORD,))
_HEAD = Head(epoch=1, nonce="n", generation="g")


class DecodingTest(unittest.TestCase):
    """Pages and heads with one odd value."""

    def test_stored_values_are_read_back(self):
        self.assertEqual(decode_page(encode_page(_PAGE)), _PAGE)
        self.assertEqual(decode_head(encode_head(_HEAD)), _HEAD)

    def test_odd_values(self):
        # Guards against an odd page or head that ends the owners with another error
        # than `DecodeError`, is partly converted, or blocks the event loop.
        for decode, valid in (
            (decode_page, encode_page(_PAGE)),
            (decode_head, encode_head(_HEAD)),
        ):
            for name, value in build_odd_documents(valid):
                with self.subTest(decode.__name__, name=name):
                    started_s = time.perf_counter()
                    try:
                        found = decode(value)
                    except DecodeError:
                        found = None
                    self.assertLess(time.perf_counter() - started_s, MAX_DECODING_S)
                    if found is not None:
                        self.assertIs(type(found.epoch), int)
                        self.assertIs(type(found.nonce), str)


class LoadingTest(unittest.TestCase):
    """A journal with an odd value in the store."""

    def test_odd_value_is_waited_out(self):
        # Guards against an odd page or head that ends the process of every owner of
        # the shard in turn. The caller must see an outage, and nothing be lost once
        # the value is valid again.
        async def scenario() -> None:
            clock = build_system_clock()
            store = VirtualStore(clock=clock)

            def open_at(epoch: int):
                return open_journal(
                    store=VirtualStoreClient(store=store),
                    shard_id="wrk-000",
                    epoch=epoch,
                    clock=clock,
                    settings=JournalSettings(write_timeout_ms=10),
                )

            def overwrite(key: str, value: bytes) -> None:
                known = store.state.get(key)
                request = SwapRequest(
                    key=key, value=value, expected_revision=known.revision
                )
                store.apply("swap", lambda state: state.swap(request))

            first = open_at(1)
            await first.load()
            await first.append([_RECORD])
            listed = store.state.list_entries("", after_key="", limit=100).entries
            for entry in listed:
                for odd in (b"[" * 100_000, b"null", b"{}", b"\xff"):
                    with self.subTest(entry.key, odd=odd[:9]):
                        overwrite(entry.key, odd)
                        with self.assertRaises(StoreUnavailableError):
                            await open_at(2).load()
                        overwrite(entry.key, entry.value)
            self.assertEqual(list(await open_at(3).load()), [_RECORD])

        trio.run(scenario, clock=trio.testing.MockClock(autojump_threshold=0))
