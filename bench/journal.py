"""Store writes and waiting time of job submissions by commit window.

Run from the root of the repository: ``python -m bench.journal``. One worker shard
accepts jobs at a steady rate on virtual time, with the real journal and a store that
answers after 5 ms, so writes and waits are deterministic. The second table shows the
cost of a record by page size, including compactions.
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
_BATCH_SIZES = (1, 10, 100)
_PAGE_BYTES = (2_048, 4_096, 8_192, 16_384, 32_768, 65_536)
_RECORDS = 4_000
_NO_LIMIT = 1e9
_MS_PER_S = 1_000.0


@attrs.define(kw_only=True)
class _Waits:
    waits_ms: list[float] = attrs.field(factory=list)

    def compute_quantile(self, fraction: float) -> float:
        """Return a quantile of the waits, in ms."""
        ordered = sorted(self.waits_ms)
        return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


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
    started_s = trio.current_time()
    await runner.submit(_build_spec(number))
    waits.waits_ms.append((trio.current_time() - started_s) * _MS_PER_S)


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
        f" {jobs / writes:>12.1f} {waits.compute_quantile(0.5):>9.0f}"
        f" {waits.compute_quantile(0.99):>9.0f}"
    )


async def _measure_pages(page_bytes: int, batch_size: int) -> None:
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
    for batch in range(_RECORDS // batch_size):
        await journal.append(_build_records(batch * batch_size, batch_size))
    cpu_s = time.process_time() - cpu_before
    calls = sum(store.state.calls.values()) - calls_before
    print(
        f"{page_bytes:>10} {batch_size:>14} {calls / _RECORDS:>14.2f}"
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
    """Store client that counts the bytes of written values."""

    bytes_sent = 0

    async def swap(self, key, value, **more):
        """Count the bytes of the value, then swap it."""
        self.bytes_sent += len(value or b"")
        return await super().swap(key, value, **more)


def _run() -> None:
    print("jobs/s window ms writes/s  jobs a write p50 wait  p99 wait ms")
    for rate_per_s in _RATES_PER_S:
        for window_ms in _WINDOWS_MS:
            mock_clock = trio.testing.MockClock(autojump_threshold=0)
            trio.run(_measure_window, window_ms, rate_per_s, clock=mock_clock)
    print("page bytes records/append calls a record bytes a record CPU us a record")
    for size in _BATCH_SIZES:
        for page_bytes in _PAGE_BYTES:
            trio.run(_measure_pages, page_bytes, size)


if __name__ == "__main__":
    configure_logs(level="ERROR")
    _run()
