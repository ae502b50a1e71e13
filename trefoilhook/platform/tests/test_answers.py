"""Tests of answers of workers, of the store and of the advice service."""

import json
import unittest
from typing import Any

import trio
from hypothesis import example, given, settings
from hypothesis import strategies as st

from trefoilhook.clock import build_boottime_clock
from trefoilhook.decoding.tests.test_readers import DEEPLY_NESTED_JSON, VALUES
from trefoilhook.exceptions import DecodeError, HistoryLostError, StoreUnavailableError
from trefoilhook.http import HttpRequest, HttpResponse, HttpServer
from trefoilhook.platform import (
    AdviceClient,
    KeyValueStore,
    PollRequest,
    PreconditionError,
    Transaction,
    WorkerClient,
    read_client_timeout,
)
from trefoilhook.platform.worker_answers import decode_poll_answer
from trefoilhook.scheduling import (
    AdviceRequest,
    Demand,
    EndKind,
    OrderOutcome,
    PollAnswer,
    StopOrder,
    TaskId,
    WorkerReport,
)

TASK = TaskId("00000000000000a1", 0, 1, 17)
RUNNING = [str(TASK), 2, "c", 41, 900]
END = [58, str(TASK), 2, "done", ""]
ANSWER = {"clock_ms": 482113, "running": [RUNNING], "finished": [END]}


def replace(row: list, place: int, value: Any) -> list:
    """Return a row with one field replaced."""
    return [*row[:place], value, *row[place + 1 :]]


class PollAnswerTest(unittest.TestCase):
    """Decoding of workers' answers to polls."""

    def read(self, **fields: Any) -> PollAnswer:
        """Decode an answer in which some fields are replaced."""
        return decode_poll_answer(json.dumps({**ANSWER, **fields}).encode())

    def test_valid_answer(self):
        answer = self.read()
        self.assertEqual(answer.unreadable, ())
        (running,), (end,) = answer.running, answer.ends
        self.assertEqual((running.task, running.percent), (TASK, 41.0))
        self.assertEqual((end.number, end.kind), (58, EndKind.DONE))

    def test_birth(self):
        # Guards against an answer that is taken for one of another process.
        self.assertIsNone(self.read().born_ms)
        self.assertEqual(self.read(born=1783700625106).born_ms, 1783700625106)
        for value in (None, "1783700625106", 1783700625106.0, True, [], -1):
            with self.subTest(value=value), self.assertRaises(DecodeError):
                self.read(born=value)

    def test_unreadable_running_rows(self):
        # An unreadable row must neither invalidate the others nor be dropped, because a
        # run that is not listed counts as ended.
        table = (
            None,
            "row",
            [],
            [str(TASK)],
            replace(RUNNING, 0, 7),
            replace(RUNNING, 0, "no name"),
            replace(RUNNING, 0, f"{TASK.job_id}.0.-1.0"),
            replace(RUNNING, 0, f"{TASK.job_id}.0.1_0.0"),
            replace(RUNNING, 0, f"{TASK.job_id}.0.٣.0"),
            replace(RUNNING, 1, "2"),
            replace(RUNNING, 1, True),
            replace(RUNNING, 1, -2),
        )
        for row in table:
            with self.subTest(row=row):
                answer = self.read(running=[row, RUNNING])
                self.assertEqual(len(answer.running), 1)
                (unreadable,) = answer.unreadable
                self.assertEqual((unreadable.is_end, unreadable.attempt), (False, None))

    def test_unreadable_measurements(self):
        # Invalid measurements must not hide a running attempt.
        for value in (None, "41", [], True, -1):
            with self.subTest(value=value):
                row = replace(replace(RUNNING, 3, value), 4, value)
                (running,) = self.read(running=[row]).running
                self.assertEqual((running.percent, running.load), (None, None))

    def test_unreadable_ends(self):
        named = (TASK, 2)
        table = (
            (None, None, None),
            ([], None, None),
            (END[:4], 58, named),
            (replace(END, 0, "58"), None, None),
            (replace(END, 0, True), None, None),
            (replace(END, 0, 0), None, None),
            (replace(END, 1, "no name"), 58, None),
            (replace(END, 2, None), 58, None),
            (replace(END, 3, "accomplished"), 58, named),
            (replace(END, 3, []), 58, named),
            (replace(END, 4, None), 58, named),
        )
        for row, number, attempt in table:
            with self.subTest(row=row):
                later = replace(END, 0, 59)
                answer = self.read(finished=[row, later])
                self.assertEqual([end.number for end in answer.ends], [59])
                (unreadable,) = answer.unreadable
                self.assertTrue(unreadable.is_end)
                self.assertEqual(
                    (unreadable.number, unreadable.attempt), (number, attempt)
                )

    def test_refused_answers(self):
        table = (
            {"clock_ms": None},
            {"clock_ms": "482113"},
            {"clock_ms": -1},
            {"running": None},
            {"finished": {}},
        )
        for fields in table:
            with self.subTest(fields=fields), self.assertRaises(DecodeError):
                self.read(**fields)

    @settings(derandomize=True, deadline=None)
    @given(VALUES, VALUES, VALUES | st.just(ANSWER["clock_ms"]))
    @example([[str(TASK), 2]], [[1, str(TASK), 10**400, "done", ""]], 1.0)
    def test_any_answer(self, running: Any, finished: Any, clock_ms: Any):
        table = {"running": [running], "finished": [finished], "clock_ms": clock_ms}
        try:
            answer = decode_poll_answer(json.dumps(table).encode())
        except DecodeError:
            return
        rows = len(answer.running) + len(answer.ends) + len(answer.unreadable)
        self.assertEqual(rows, 2)

    @settings(derandomize=True, deadline=None)
    @given(st.binary(max_size=40))
    @example(DEEPLY_NESTED_JSON)
    def test_any_bytes(self, data: bytes):
        with self.assertRaises(DecodeError):
            decode_poll_answer(data)


async def _serve(nursery: trio.Nursery, status: int, body: bytes) -> HttpServer:
    async def answer(request: HttpRequest) -> HttpResponse:
        return HttpResponse(status=status, body=body)

    server = HttpServer(handler=answer, host="127.0.0.1", port=0)
    await nursery.start(server.run)
    return server


class CallTest(unittest.TestCase):
    """Calls with invalid answers."""

    def call(self, body: bytes, use: Any, *, status: int = 200) -> Any:
        """Make a call to a service that answers with ``body``."""

        async def main() -> Any:
            async with trio.open_nursery() as nursery:
                server = await _serve(nursery, status, body)
                try:
                    return await use(("127.0.0.1", server.port))
                finally:
                    nursery.cancel_scope.cancel()

        def run() -> Any:
            return trio.run(main)

        try:
            return run()
        except BaseExceptionGroup as group:
            (error,) = group.exceptions
            raise error from None

    def test_unreadable_store_answers(self):
        # A proxy between an instance and the store may answer in the store's place. An
        # unreadable answer must count as no answer, so that the caller retries.
        item = {"key": "k", "value": "", "revision": 3}
        bodies = (
            b"",
            b"\xff",
            b"[]",
            b"{}",
            DEEPLY_NESTED_JSON,
            b'{"items":[null],"events":[1],"as_of":3,"revision":"3","lease":null}',
            json.dumps(
                {
                    "items": [{**item, "value": "?"}],
                    "events": [{**item, "key": 1}],
                    "as_of": True,
                    "key": "k",
                    "value": "???",
                    "revision": 1.5,
                    "lease": 0,
                }
            ).encode(),
        )
        calls = {
            "get": lambda store: store.get("k"),
            "list": lambda store: store.list_items("k"),
            "watch": lambda store: store.watch("k", after=1, wait_ms=1),
            "commit": lambda store: store.commit(Transaction()),
            "grant": lambda store: store.grant_lease(1000),
        }
        for name, call in calls.items():
            for body in bodies:

                async def use(address: Any, call: Any = call) -> Any:
                    store = KeyValueStore(
                        address=address, timeout_ms=2000.0, clock=build_boottime_clock()
                    )
                    return await call(store)

                with (
                    self.subTest(call=name, body=body[:20]),
                    self.assertRaises(StoreUnavailableError),
                ):
                    self.call(body, use)

    def test_unreadable_transaction_refusal(self):
        async def use(address: Any) -> Any:
            store = KeyValueStore(
                address=address, timeout_ms=2000.0, clock=build_boottime_clock()
            )
            return await store.commit(Transaction())

        for body in (b"", b'{"items":[1]}', b'{"items":{}}', DEEPLY_NESTED_JSON):
            with self.subTest(body=body[:20]), self.assertRaises(StoreUnavailableError):
                self.call(body, use, status=412)
        with self.assertRaises(PreconditionError) as caught:
            self.call(b'{"items":[{"key":"k"}]}', use, status=412)
        self.assertEqual(caught.exception.items, ())

    def test_compacted_history(self):
        async def use(address: Any) -> Any:
            store = KeyValueStore(
                address=address, timeout_ms=2000.0, clock=build_boottime_clock()
            )
            return await store.watch("k", after=1, wait_ms=1)

        with self.assertRaises(HistoryLostError):
            self.call(b"", use, status=410)

    def _build_worker(self, address: Any) -> WorkerClient:
        host, port = address
        report = WorkerReport(
            worker_id="w",
            service="s",
            host=host,
            port=port,
            failure_domain="z",
            capacity=Demand(),
        )
        return WorkerClient(report=report, read_timeout=lambda: 2000.0)

    def test_unreadable_worker_answers(self):
        async def poll(address: Any) -> Any:
            request = PollRequest(token=1, acknowledged=0, deadline_ms=None, wait_ms=0)
            return await self._build_worker(address).poll(request)

        for body in (b"", b"null", DEEPLY_NESTED_JSON, b'{"clock_ms":1}'):
            with self.subTest(body=body[:20]), self.assertRaises(DecodeError):
                self.call(body, poll)

    def test_ended_process_is_distinguished_from_timeout(self):
        # Guards against a crashed worker that is treated as unreachable.
        async def close(request: HttpRequest) -> HttpResponse:
            raise trio.BrokenResourceError

        async def scenario() -> tuple[OrderOutcome, OrderOutcome]:
            order = StopOrder(worker_id="w", task=TASK, attempt=1, token=1)
            server = HttpServer(handler=close, host="127.0.0.1", port=0)
            async with trio.open_nursery() as nursery:
                port = await nursery.start(server.run)
                client = self._build_worker(("127.0.0.1", port))
                lost = await client.stop(order)
                nursery.cancel_scope.cancel()
            return lost, await client.stop(order)

        self.assertEqual(
            trio.run(scenario),
            (OrderOutcome.CONNECTION_LOST, OrderOutcome.CONNECTION_REFUSED),
        )

    def test_unreadable_refusals(self):
        async def stop(address: Any) -> Any:
            order = StopOrder(worker_id="w", task=TASK, attempt=1, token=1)
            return await self._build_worker(address).stop(order)

        table = (
            (b'{"reason":"fence"}', OrderOutcome.FENCED),
            (b'{"reason":[]}', OrderOutcome.REFUSED),
            (b'{"reason":"new"}', OrderOutcome.REFUSED),
            (b"{}", OrderOutcome.REFUSED),
            (DEEPLY_NESTED_JSON, OrderOutcome.NO_ANSWER),
            (b"[]", OrderOutcome.NO_ANSWER),
        )
        for body, outcome in table:
            with self.subTest(body=body[:20]):
                self.assertIs(self.call(body, stop, status=409), outcome)

    def test_unreadable_advice(self):
        # Workers that are not in an answer count as refused. Guards against a partly
        # decoded answer, which would exclude a worker from the step permanently.
        async def ask(address: Any) -> Any:
            request = AdviceRequest(step=("j", 0, 0), workers=("w",))
            return await AdviceClient(address=address).ask(request, timeout_ms=2000.0)

        rows = ("[1]", '["w"]', '["w",7]', '[["w"],"t"]', "null", '"wt"')
        bodies = (b"", DEEPLY_NESTED_JSON, b"{}", b'{"granted":"w"}')
        bodies += tuple(f'{{"granted":[["v","t"],{row}]}}'.encode() for row in rows)
        for body in bodies:
            with self.subTest(body=body[:30]), self.assertRaises(DecodeError):
                self.call(body, ask)
        self.assertIsNone(self.call(b"", ask, status=429))
        (grant,) = self.call(b'{"granted":[["w","t"]]}', ask)
        self.assertEqual((grant.worker_id, grant.ticket), ("w", "t"))


class ClientTimeoutTest(unittest.TestCase):
    """Decoding of the timeout that a client sends."""

    def test_table(self):
        # Guards against a cancellation that is retried forever with a timeout of "nan",
        # as no time compares as later.
        for text, expected in (
            ("250", 250.0),
            ("nan", 3000.0),
            ("inf", 3000.0),
            ("1e999", 3000.0),
            ("soon", 3000.0),
            ("", 3000.0),
        ):
            headers = (("deadline-ms", text),)
            request = HttpRequest(method="GET", target="/", headers=headers)
            with self.subTest(text=text):
                found = read_client_timeout(request, default_ms=3000.0)
                self.assertEqual(found, expected)


if __name__ == "__main__":
    unittest.main()
