"""Simulation of a takeover by a new owner."""

import heapq
import json
import random
from collections.abc import Collection

import attrs

from bench.succession.record import count_pages, encode_placements
from bench.succession.strategies import Strategy
from bench.succession.world import JobCase, World
from trefoilhook.scheduling import (
    AttemptEnd,
    Configuration,
    Demand,
    EndKind,
    JobRecord,
    PollAnswer,
    Queue,
    Running,
    Scheduler,
    SchedulerLimits,
    TaskId,
    WorkerReport,
    apply_poll_answer,
    encode_job_record,
    encode_progress,
    is_settled,
)

__all__ = [
    "SETTLED_AT_MS",
    "STORE_CALL_MS",
    "NewOwner",
    "ReadCost",
    "Silence",
    "TakeoverOutcome",
    "list_record_pages",
    "measure_reads",
    "take_over",
]

STORE_CALL_MS = 4.0
"""Duration of a call to the store, in ms."""

_POLL_MS = 2.0
_POLL_TIMEOUT_MS = 600.0
_POLL_RETRY_PAUSE_MS = 200.0
_ANSWER_CPU_MS = 0.25
"""Processor time to decode and apply the answer of a worker to a poll, in ms."""

_OWNER_LEASE_MS = 2000.0
_TASK_LEASE_MS = 5000.0
SETTLED_AT_MS = _OWNER_LEASE_MS + _TASK_LEASE_MS / 0.98 + 300.0
"""Time from a claim until all leases of earlier owners have expired, in ms."""

_ENTRY_BYTES = 330
"""Size of a worker's entry in the store."""

_RECORDED_ROWS_PER_PAGE = 8
"""Number of placements per page of the record."""

_QUEUE = Queue(
    name="checks",
    host="h",
    prefix="/checks/",
    service="s",
    priority=0,
    max_attempts=3,
    stretch=1.5,
    objective_ms=250.0,
)


@attrs.frozen(kw_only=True)
class Silence:
    """When silent workers answer again or are unlisted, in ms after the takeover.

    Parameters
    ----------
    ends_ms : float
        Time at which they answer again.
    unlisted_ms : float
        Time at which their entries leave the store.
    """

    ends_ms: float = float("inf")
    unlisted_ms: float = float("inf")


@attrs.frozen(kw_only=True)
class TakeoverOutcome:
    """When tasks may start after a takeover, in ms after the claim.

    Parameters
    ----------
    loaded_ms : float
        Time at which the state has been read.
    settled_ms : float
        Time at which every worker is accounted for.
    due_ms : list of float
        For each due task that was never ordered, the time from which it may start.
    recorded_ms : list of float
        The same for due tasks whose placement was recorded but to which no order was
        sent.
    later_ms : list of float
        For each task of a step that becomes due later, the time for which it is held.
    unsafe : int
        Number of tasks on silent workers that the strategy would start again.
    calls, read_bytes : int
        Calls to the store and bytes read by the takeover.
    record_bytes : int
        Bytes of recorded placements among them.
    longest_round_cpu_ms : float
        Processor time of the longest round that releases held tasks, in ms. It varies
        between runs and is not compared.
    """

    loaded_ms: float
    settled_ms: float
    due_ms: list[float]
    recorded_ms: list[float]
    later_ms: list[float]
    unsafe: int
    calls: int
    read_bytes: int
    record_bytes: int
    longest_round_cpu_ms: float = attrs.field(default=0.0, eq=False)


@attrs.frozen(kw_only=True)
class ReadCost:
    """Cost of the reads of a takeover.

    Parameters
    ----------
    calls, read_bytes : int
        Calls to the store and bytes read.
    record_bytes : int
        Bytes of recorded placements among them.
    """

    calls: int
    read_bytes: int
    record_bytes: int


def list_record_pages(world: World) -> list[list[tuple[TaskId, str]]]:
    """Return the recorded tasks and their workers by page."""
    rows = [(task, world.workers[number]) for task, number in world.recorded.items()]
    return [
        rows[first : first + _RECORDED_ROWS_PER_PAGE]
        for first in range(0, len(rows), _RECORDED_ROWS_PER_PAGE)
    ]


def _measure_strategy_reads(world: World, strategy: Strategy) -> ReadCost:
    if not strategy.reads_record:
        return measure_reads(world, ())
    pages = [
        encode_placements([(task, 1, name) for task, name in page], epoch=7)
        for page in list_record_pages(world)
    ]
    return measure_reads(world, [len(page) for page in pages])


def measure_reads(world: World, record_sizes: Collection[int]) -> ReadCost:
    """Return the cost of the reads of a takeover; base64 adds a third to each value.

    Parameters
    ----------
    world : World
        State at the takeover.
    record_sizes : collection of int
        Sizes of the values with recorded placements, in bytes.
    """
    jobs = [len(encode_job_record(JobRecord(job=case.job))) for case in world.jobs]
    progress = [
        len(encode_progress(case.progress))
        for case in world.jobs
        if case.progress is not None
    ]
    listings = [
        (len(world.workers), _ENTRY_BYTES * len(world.workers)),
        (len(jobs), sum(jobs)),
        (len(progress), sum(progress)),
    ]
    record_bytes = sum(record_sizes) * 4 // 3
    if record_sizes:
        listings.append((len(record_sizes), sum(record_sizes)))
    calls = sum(count_pages(count, size * 4 // 3) for count, size in listings)
    roster = len(json.dumps(world.workers))
    total = (sum(size for _, size in listings) + roster) * 4 // 3
    # The roster and the interference estimates are read by their keys.
    return ReadCost(calls=calls + 2, read_bytes=total, record_bytes=record_bytes)


class NewOwner:
    """Scheduler of a new owner, with simulated polls of its workers."""

    def __init__(self, world: World, *, loaded_ms: float) -> None:
        self.world = world
        self.scheduler = Scheduler(
            epoch=8,
            limits=SchedulerLimits(
                task_lease_ms=_TASK_LEASE_MS,
                longest_stop_ms=900.0,
                settled_at_ms=SETTLED_AT_MS,
            ),
            configuration=Configuration(version=1, queues=(_QUEUE,)),
        )
        self.resolved_ms: dict[int, float] = {}
        self._loaded_ms = loaded_ms
        self._runs: dict[int, list[tuple[TaskId, bool]]] = {}
        for case in world.jobs:
            self.scheduler.add_job(
                JobRecord(job=case.job),
                revision=1,
                is_new=False,
                wall_ms=0.0,
                progress=case.progress,
            )
            for task, number in case.placed.items():
                row = (task, task in case.ended)
                self._runs.setdefault(number, []).append(row)
        for number, worker_id in enumerate(world.workers):
            self.scheduler.update_worker(
                WorkerReport(
                    worker_id=worker_id,
                    service="s",
                    host=worker_id,
                    port=1,
                    failure_domain=str(world.domains[number]),
                    capacity=Demand(cpu=16_000, memory_mb=64_000),
                )
            )

    def _answer(self, number: int, now_ms: float) -> None:
        runs = self._runs.get(number, [])
        answer = PollAnswer(
            clock_ms=now_ms + 40_000.0,
            running=tuple(
                Running(task=task, attempt=1, checkpoint="", percent=0.0, load=0.0)
                for task, is_ended in runs
                if not is_ended
            ),
            ends=tuple(
                AttemptEnd(
                    number=index + 1,
                    task=task,
                    attempt=1,
                    kind=EndKind.DONE,
                    checkpoint="",
                )
                for index, (task, is_ended) in enumerate(runs)
                if is_ended
            ),
        )
        apply_poll_answer(
            self.scheduler,
            self.world.workers[number],
            answer,
            sent_ms=now_ms - _POLL_MS,
            now_ms=now_ms,
        )

    def _run_due_round(self, now_ms: float) -> None:
        """Run the round that is due before a time; by default there is none."""

    def _resolve(self, number: int, now_ms: float) -> None:
        """Process an answer of a worker, its removal or the expiry of its leases."""
        worker_id = self.world.workers[number]
        if number not in self.resolved_ms and is_settled(
            self.scheduler, (worker_id,), now_ms
        ):
            self.resolved_ms[number] = now_ms

    def run(self, silent: set[int], silence: Silence, seed: int) -> None:
        """Poll all workers until each is accounted for."""
        generator = random.Random(f"polls {seed}")
        events: list[tuple[float, str, int]] = []
        for number in range(len(self.world.workers)):
            at_ms = self._loaded_ms + _POLL_MS + generator.random()
            if number in silent:
                cycle_ms = _POLL_TIMEOUT_MS + _POLL_RETRY_PAUSE_MS
                while at_ms < silence.ends_ms < float("inf"):
                    at_ms += cycle_ms
                events.append((silence.unlisted_ms, "unlisted", number))
                if silence.ends_ms == float("inf"):
                    continue
            events.append((at_ms, "answer", number))
        events += [(SETTLED_AT_MS, "expiry", number) for number in silent]
        heapq.heapify(events)
        cpu_free_ms = 0.0
        while events:
            at_ms, kind, number = heapq.heappop(events)
            if at_ms == float("inf"):
                break
            if kind == "answer":
                # Answers are applied sequentially.
                cpu_free_ms = at_ms = max(at_ms, cpu_free_ms) + _ANSWER_CPU_MS
            self._run_due_round(at_ms)
            if kind == "answer":
                self._answer(number, at_ms)
            elif kind == "unlisted":
                self.scheduler.mark_unlisted(self.world.workers[number])
            self._resolve(number, at_ms)
        self._run_due_round(float("inf"))

    @property
    def settled_ms(self) -> float:
        """Time at which every worker is accounted for."""
        return max(self.resolved_ms[n] for n in range(len(self.world.workers)))


def _is_input_seen(
    owner: NewOwner, case: JobCase, due_ms: float, silent: set[int]
) -> bool:
    """Return whether this owner saw an input of a step running before its end.

    The previous owner cannot have learned of that end, so it has not started any task
    of the next step.
    """
    return any(
        task not in case.ended and owner.resolved_ms[number] < due_ms
        for task, number in case.placed.items()
        if number not in silent
    )


def take_over(
    world: World, strategy: Strategy, *, silent: set[int], silence: Silence, seed: int
) -> TakeoverOutcome:
    """Simulate a takeover, and return when its tasks may start."""
    reads = _measure_strategy_reads(world, strategy)
    loaded_ms = reads.calls * STORE_CALL_MS
    owner = NewOwner(world, loaded_ms=loaded_ms)
    owner.run(silent, silence, seed)
    settled_ms = owner.settled_ms
    worker_count = len(world.workers)

    def find_start_ms(case: JobCase, task: TaskId) -> float:
        awaited = strategy.find_awaited(world, case, task)
        if len(awaited) == worker_count:
            return settled_ms
        return max([loaded_ms, *(owner.resolved_ms[n] for n in awaited)])

    due: list[float] = []
    recorded: list[float] = []
    later: list[float] = []
    unsafe = 0
    for case in world.jobs:
        for task in case.waiting:
            target = recorded if task in world.recorded else due
            target.append(find_start_ms(case, task))
        for task, number in case.placed.items():
            if number in silent and number not in strategy.find_awaited(
                world, case, task
            ):
                unsafe += 1
        if case.is_opening(silent):
            first = TaskId(case.job.job_id, 0, case.step + 1, 0)
            held_ms = max(0.0, find_start_ms(case, first) - case.next_due_ms)
            if strategy.trusts_inputs and _is_input_seen(
                owner, case, case.next_due_ms, silent
            ):
                held_ms = 0.0
            later += [held_ms] * case.job.steps[case.step + 1].count
    return TakeoverOutcome(
        loaded_ms=loaded_ms,
        settled_ms=settled_ms,
        due_ms=due,
        recorded_ms=recorded,
        later_ms=later,
        unsafe=unsafe,
        calls=reads.calls,
        read_bytes=reads.read_bytes,
        record_bytes=reads.record_bytes,
    )
