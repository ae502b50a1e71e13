"""Store writes and waiting time of job submissions against the commit window.

Run from the root of the repository: ``python -m bench.journal``. One worker shard takes
jobs at a steady rate on virtual time, over the real journal and a store that answers
after 5 ms; so writes and waits depend on nothing but the code. The second table is what
a record costs by the size of pages, compactions included.
"""

import time

import attrs
import trio
import trio.testing

from trefoilhook.clock import build_system_clock
from trefoilhook.jobs import JobRecord, JobSettings, JobSpec, RecordKind, ShardRunner
from trefoilhook.journal import Journal, JournalSettings, open_journal
from trefoilhook.logs import configure_logs
from trefoilhook.placement import LATENCY_FIRST, Resources, TaskKind
from trefoilhook.standins.store_state import StoreSettings
from trefoilhook.standins.virtual import VirtualStore, VirtualStoreClient

_STORE_CALL_MS = 5.0
_RUN_MS = 10_000.0
_WINDOWS_MS = (0.0, 5.0, 10.0, 20.0, 50.0, 100.0, 200.0)
_RATES_PER_S = (2, 20, 200)
_BATCHES = (1, 10, 100)
_PAGE_BYTES = (2_048, 4_096, 8_192, 16_384, 32_768, 65_536)
_RECORDS = 4_000
_NO_LIMIT = 1e9
_MS_PER_S = 1_000.0


@attrs.define(kw_only=True)
class _Waits:
    waits_ms: list[float] = attrs.field(factory=list)

    def read(self, share: float) -> float:
        """Return the wait that a share of the jobs did not exceed, in ms."""
        ordered = sorted(self.waits_ms)
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def _build_spec(number: int) -> JobSpec:
    return JobSpec(
        job_id=f"job-{number:08d}",
        team="team",
        name="roster",
        kind=TaskKind.BATCH,
        is_urgent=False,
        is_idempotent=True,
        resources=Resources(cores=1.0, memory_bytes=1_000, accelerators=0),
        declared_run_ms=1_000,
        payload="x" * 100,
        task_class="roster",
        submitted_ms=0.0,
    )


def _open_journal(store: VirtualStore) -> Journal:
    return open_journal(
        store=VirtualStoreClient(store=store),
        shard_id="wrk-000",
        epoch=1,
        clock=store.clock,
        settings=JournalSettings(),
    )


async def _submit(runner: ShardRunner, number: int, waits: _Waits) -> None:
    begun = trio.current_time()
    await runner.submit(_build_spec(number))
    waits.waits_ms.append((trio.current_time() - begun) * _MS_PER_S)


async def _measure_window(window_ms: float, rate_per_s: int) -> None:
    clock = build_system_clock()
    store = VirtualStore(clock=clock, call_ms=_STORE_CALL_MS)
    waits = _Waits()
    runner = ShardRunner(
        shard_id="wrk-000",
        epoch=1,
        owner_id="one",
        may_act=lambda: False,
        journal=_open_journal(store),
        list_workers=lambda: (),
        open_worker=lambda address: None,
        policy=lambda: LATENCY_FIRST,
        find_quota=lambda team: None,
        clock=clock,
        settings=JobSettings(commit_window_ms=window_ms),
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(runner.run)
        while not runner.is_loaded:
            await clock.sleep_ms(1.0)
        writes_before = store.state.calls["swap"]
        jobs = int(rate_per_s * _RUN_MS / _MS_PER_S)
        async with trio.open_nursery() as submitters:
            for number in range(jobs):
                submitters.start_soon(_submit, runner, number, waits)
                await clock.sleep_ms(_MS_PER_S / rate_per_s)
        writes = store.state.calls["swap"] - writes_before
        nursery.cancel_scope.cancel()
    print(
        f"{rate_per_s:>6} {window_ms:>9.0f} {writes / _RUN_MS * _MS_PER_S:>9.1f}"
        f" {jobs / writes:>12.1f} {waits.read(0.5):>9.0f} {waits.read(0.99):>9.0f}"
    )


async def _measure_pages(page_bytes: int, size: int) -> None:
    unlimited = StoreSettings(writes_per_s=_NO_LIMIT, reads_per_s=_NO_LIMIT)
    store = VirtualStore(clock=build_system_clock(), call_ms=0.0, settings=unlimited)
    client = _CountingClient(store=store)
    journal = open_journal(
        store=client,
        shard_id="wrk-000",
        epoch=1,
        clock=store.clock,
        settings=JournalSettings(page_bytes=page_bytes),
    )
    await journal.load()
    calls_before = sum(store.state.calls.values())
    client.bytes_sent = 0
    cpu_before = time.process_time()
    for turn in range(_RECORDS // size):
        await journal.append(_build_records(turn * size, size))
    cpu_s = time.process_time() - cpu_before
    calls = sum(store.state.calls.values()) - calls_before
    print(
        f"{page_bytes:>10} {size:>14} {calls / _RECORDS:>14.2f}"
        f" {client.bytes_sent / _RECORDS:>14.0f} {cpu_s / _RECORDS * 1e6:>15.0f}"
    )


def _build_records(first: int, count: int) -> list[JobRecord]:
    return [
        JobRecord(
            kind=RecordKind.ACCEPTED,
            job_id=f"job-{number:08d}",
            spec=_build_spec(number),
        )
        for number in range(first, first + count)
    ]


class _CountingClient(VirtualStoreClient):
    """Counts the bytes of the values that leave."""

    bytes_sent = 0

    async def swap(self, key, value, **more):
        """Count, then swap."""
        self.bytes_sent += len(value or b"")
        return await super().swap(key, value, **more)


def _run() -> None:
    print("jobs/s window ms writes/s  jobs a write p50 wait  p99 wait ms")
    for rate_per_s in _RATES_PER_S:
        for window_ms in _WINDOWS_MS:
            virtual = trio.testing.MockClock(autojump_threshold=0)
            trio.run(_measure_window, window_ms, rate_per_s, clock=virtual)
    print("page bytes records/append calls a record bytes a record CPU us a record")
    for size in _BATCHES:
        for page_bytes in _PAGE_BYTES:
            trio.run(_measure_pages, page_bytes, size)


if __name__ == "__main__":
    configure_logs(level="ERROR")
    _run()
