"""Cost of recording the placement of each task before its start order is sent."""

import heapq
import itertools
import math
import pathlib
import random
import tomllib

import attrs

from bench.succession.record import encode_placements
from trefoilhook.scheduling import TaskId

__all__ = ["Load", "RecordCost", "measure_writes", "print_writes", "read_load"]

_STORE_CALL_MS = 4.0
_BATCH_MS = 6.0
_SIMULATED_MS = 60_000.0
_WARM_UP_MS = 1000.0
"""Time in which the placements of long-running tasks that already run are recorded. Its
writes are not counted."""

_BURST_MS = 4000.0
_MAX_ROWS_PER_WRITE = 1000
_MAX_REMOVALS = 29
"""Maximum number of pages removed by one write: a transaction has up to 32 entries, of
which two compare the owner's key and the absence of the new page, and one puts it."""

_LIVE_SHARE = 0.25
"""Fraction of live rows below which a page is compacted into the next one."""


@attrs.frozen(kw_only=True)
class JobKind:
    """Jobs of one kind.

    Parameters
    ----------
    jobs_per_s : float
        Mean rate of submissions.
    steps, width, run_ms : float
        Mean number of steps, of tasks per step, and mean duration of a task, in ms.
    burst : float
        Factor of the rate during a burst.
    """

    jobs_per_s: float
    steps: float
    width: float
    run_ms: float
    burst: float = 1.0


@attrs.frozen(kw_only=True)
class Load:
    """Jobs submitted to a deployment.

    Parameters
    ----------
    name : str
        Name of the deployment.
    workers : int
        Number of workers.
    kinds : tuple of JobKind
        Kinds of jobs.
    swing, period_ms : float
        Relative amplitude and period of the submission rate.
    running_services : int
        Number of long-running tasks at the beginning.
    writes_per_s : float
        Rate limit of the store.
    """

    name: str
    workers: int
    kinds: tuple[JobKind, ...]
    swing: float
    period_ms: float
    running_services: int
    writes_per_s: float

    @property
    def starts_per_s(self) -> float:
        """Mean rate of starts."""
        return sum(k.jobs_per_s * k.steps * k.width for k in self.kinds)


@attrs.frozen(kw_only=True)
class RecordCost:
    """Cost of recording placements.

    Parameters
    ----------
    starts, busiest_starts : float
        Starts a second, on average and in the busiest second.
    writes, busiest_writes : float
        Writes a second.
    written, busiest_written : float
        Bytes written a second.
    delay_ms : float
        95th percentile of the delay that the write adds to a start.
    pages, rows, stored : float
        Pages, their live rows and their bytes in the store at the end.
    copied : float
        Rows copied by compaction, as a fraction of the rows written.
    """

    starts: float
    busiest_starts: float
    writes: float
    busiest_writes: float
    written: float
    busiest_written: float
    delay_ms: float
    pages: int
    rows: int
    stored: int
    copied: float


def read_load(path: str) -> Load:
    """Read the load of a deployment from its site file."""
    site = tomllib.loads(pathlib.Path(path).read_text())
    thin = site.get("thin", 1.0)
    traffic = site["traffic"]
    mix = traffic[0]["mix"]
    jobs_per_s = thin * sum(row["per_s"] for row in traffic) / sum(mix.values())
    bursts = {
        row["class"]: row["x"]
        for row in site["troubles"]
        if row["kind"] == "burst" and "class" in row
    }
    kinds = []
    services = 0
    for row in site["classes"]:
        jobs = row["jobs"]
        run_ms = row["work_ms"]["mean"]
        if jobs.get("lasts"):
            run_ms = 1000.0 * jobs["stay_s"]["mean"]
            services += round(jobs["filled"] * jobs["width"]["mean"])
        kinds.append(
            JobKind(
                jobs_per_s=jobs_per_s * mix[row["name"]],
                steps=jobs["steps"]["mean"],
                width=jobs["width"]["mean"],
                run_ms=run_ms,
                burst=bursts.get(row["name"], 1.0),
            )
        )
    shape = traffic[0]["shape"]
    servers = [row["count"] for s in site["services"] for row in s["servers"]]
    return Load(
        name=site["name"],
        workers=round(thin * sum(servers)),
        kinds=tuple(kinds),
        swing=shape["swing"],
        period_ms=1000.0 * shape["period_s"],
        running_services=services,
        writes_per_s=site["platform"]["writes_per_s"],
    )


def _draw_count(generator: random.Random, mean: float) -> int:
    """Draw from the geometric distribution on 1, 2, ... with the given mean."""
    if mean <= 1.0:
        return 1
    draw = 1.0 - generator.random()
    return 1 + int(math.log(draw) / math.log(1.0 - 1.0 / mean))


def _draw_starts(
    load: Load, generator: random.Random, *, spread: bool
) -> list[tuple[float, TaskId, float]]:
    """Draw starts: time, task and duration.

    Parameters
    ----------
    load : Load
        Load.
    generator : random.Random
        Generator.
    spread : bool
        Whether the tasks of a step start one by one, as on full workers, instead of
        together.
    """
    starts: list[tuple[float, TaskId, float]] = []
    middle_ms = _SIMULATED_MS / 2
    number = 0
    for kind in load.kinds:
        now_ms = 0.0
        peak = kind.jobs_per_s * (1.0 + load.swing) * kind.burst
        while True:
            now_ms += generator.expovariate(peak / 1000.0)
            if now_ms >= _SIMULATED_MS:
                break
            wave = 1.0 + load.swing * math.sin(2 * math.pi * now_ms / load.period_ms)
            is_burst = 0 <= now_ms - middle_ms < _BURST_MS
            rate = kind.jobs_per_s * wave * (kind.burst if is_burst else 1.0)
            if generator.random() >= rate / peak:
                continue
            number += 1
            due_ms = now_ms
            for step in range(_draw_count(generator, kind.steps)):
                width = _draw_count(generator, kind.width)
                last_ms = due_ms
                for index in range(width):
                    at_ms = due_ms
                    if spread:
                        at_ms += generator.uniform(0.0, kind.run_ms)
                    run_ms = generator.expovariate(1.0 / kind.run_ms)
                    task = TaskId(f"{number:016x}", 0, step, index)
                    starts.append((at_ms, task, run_ms))
                    last_ms = max(last_ms, at_ms + run_ms)
                due_ms = last_ms
    starts += [
        (0.0, TaskId(f"service-{n:08x}", 0, 0, 0), generator.expovariate(1 / 70_000.0))
        for n in range(load.running_services)
    ]
    starts.sort(key=lambda start: start[0])
    return [start for start in starts if start[0] < _SIMULATED_MS]


@attrs.define(kw_only=True, eq=False)
class _Page:
    rows: dict[TaskId, float]
    size: int
    live: int

    @property
    def is_sparse(self) -> bool:
        return 0 < self.live < _LIVE_SHARE * len(self.rows)


def _count_busiest(times_ms: list[float], weights: list[int]) -> float:
    """Return the largest sum of weights within a second."""
    busiest = total = first = 0
    for position, at_ms in enumerate(times_ms):
        total += weights[position]
        while times_ms[first] <= at_ms - 1000.0:
            total -= weights[first]
            first += 1
        busiest = max(busiest, total)
    return float(busiest)


def measure_writes(
    load: Load, seed: int, *, spread: bool, overlapping: bool = False
) -> RecordCost:
    """Simulate the recording of placements.

    Parameters
    ----------
    load : Load
        Starts.
    seed : int
        Seed.
    spread : bool
        Whether the tasks of a step start one by one instead of together.
    overlapping : bool, optional
        Whether a write may begin before the previous one is answered.
    """
    generator = random.Random(f"{load.name} {seed} {spread}")
    starts = _draw_starts(load, generator, spread=spread)
    pages: set[_Page] = set()
    ends: list[tuple[float, int, TaskId, _Page]] = []
    write_ms: list[float] = []
    write_rows: list[int] = []
    write_bytes: list[int] = []
    delays: list[float] = []
    empty_pages: list[_Page] = []
    copied = position = 0
    order = itertools.count()
    writer_free_ms = 0.0
    while position < len(starts):
        begin_ms = max(writer_free_ms, starts[position][0]) + _BATCH_MS
        while ends and ends[0][0] <= begin_ms:
            _, _, task, page = heapq.heappop(ends)
            if page in pages and task in page.rows:
                page.live -= 1
                if not page.live:
                    pages.discard(page)
                    empty_pages.append(page)
        rows: dict[TaskId, float] = {}
        while (
            position < len(starts)
            and starts[position][0] <= begin_ms
            and len(rows) < _MAX_ROWS_PER_WRITE
        ):
            at_ms, task, run_ms = starts[position]
            rows[task] = begin_ms + _STORE_CALL_MS + run_ms
            delays.append(begin_ms + _STORE_CALL_MS - at_ms - _BATCH_MS)
            position += 1
        new_rows = len(rows)
        max_compacted = max(0, _MAX_REMOVALS - len(empty_pages))
        del empty_pages[:_MAX_REMOVALS]
        for page in [page for page in pages if page.is_sparse][:max_compacted]:
            moved = {t: end for t, end in page.rows.items() if end > begin_ms}
            copied += len(moved)
            rows.update(moved)
            pages.discard(page)
        workers = [f"i-{generator.randrange(load.workers):010x}" for _ in rows]
        size = len(
            encode_placements(
                ((t, 1, w) for t, w in zip(rows, workers, strict=True)), epoch=7
            )
        )
        page = _Page(rows=rows, size=size * 4 // 3, live=len(rows))
        pages.add(page)
        for task, end_ms in rows.items():
            heapq.heappush(ends, (end_ms, next(order), task, page))
        if begin_ms > _WARM_UP_MS:
            write_ms.append(begin_ms)
            write_rows.append(new_rows)
            write_bytes.append(page.size)
        writer_free_ms = begin_ms if overlapping else begin_ms + _STORE_CALL_MS
    seconds = (_SIMULATED_MS - _WARM_UP_MS) / 1000.0
    delays.sort()
    return RecordCost(
        starts=sum(write_rows) / seconds,
        busiest_starts=_count_busiest(write_ms, write_rows),
        writes=len(write_ms) / seconds,
        busiest_writes=_count_busiest(write_ms, [1] * len(write_ms)),
        written=sum(write_bytes) / seconds,
        busiest_written=_count_busiest(write_ms, write_bytes),
        delay_ms=delays[int(0.95 * len(delays))],
        pages=len(pages),
        rows=sum(page.live for page in pages),
        stored=sum(page.size for page in pages),
        copied=copied / len(starts),
    )


TARGET = Load(
    name="a part of 200 workers at the size aimed at",
    workers=200,
    kinds=(
        JobKind(jobs_per_s=1.4, steps=1.6, width=10.0, run_ms=640.0, burst=2.6),
        JobKind(jobs_per_s=2.77, steps=2.0, width=20.0, run_ms=2200.0, burst=2.6),
    ),
    swing=0.15,
    period_ms=11_000.0,
    running_services=440,
    writes_per_s=0.0,
)
"""One of 150 parts of 200 workers that together have 20,000 starts a second and 66,000
long-running tasks."""


def print_writes(paths: list[str], seed: int, *, overlapping: bool) -> None:
    """Print the cost of recording for the deployments and for ``TARGET``."""
    print(
        "| deployment | steps start | starts/s | busiest second | writes/s | busiest | "
        "limit | KB/s | busiest | delay p95 ms | pages | rows | KB stored | copied, % |"
    )
    print("|" + "---|" * 14)
    for load in [*(read_load(path) for path in paths), TARGET]:
        for spread in (False, True):
            cost = measure_writes(load, seed, spread=spread, overlapping=overlapping)
            columns = [
                load.name,
                "one by one" if spread else "whole",
                f"{cost.starts:.0f}",
                f"{cost.busiest_starts:.0f}",
                f"{cost.writes:.0f}",
                f"{cost.busiest_writes:.0f}",
                f"{load.writes_per_s:,.0f}" if load.writes_per_s else "",
                f"{cost.written / 1000:.1f}",
                f"{cost.busiest_written / 1000:.1f}",
                f"{cost.delay_ms:.0f}",
                f"{cost.pages}",
                f"{cost.rows}",
                f"{cost.stored / 1000:.0f}",
                f"{100 * cost.copied:.0f}",
            ]
            print("| " + " | ".join(columns) + " |", flush=True)
