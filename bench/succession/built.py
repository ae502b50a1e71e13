"""Simulation of takeovers by the rule of the product."""

import random
import time
from collections.abc import Iterator, Sequence

from bench.succession.takeover import (
    SETTLED_AT_MS,
    STORE_CALL_MS,
    NewOwner,
    Silence,
    TakeoverOutcome,
    list_record_pages,
    measure_reads,
)
from bench.succession.world import JobCase, Placement, World
from trefoilhook.scheduling import TaskId, account_for_workers
from trefoilhook.takeover import (
    Head,
    Member,
    Place,
    PlaceLedger,
    Predecessors,
    WorkerGroups,
    count_groups,
    encode_head,
    encode_places,
)

__all__ = ["place_in_product_group", "take_over_by_product_rule"]

_ROUND_DELAY_MS = 20.0
"""Time from an event to the round of the owner that processes it, in ms."""

_PREVIOUS_EPOCH = 7


def _build_groups(size: int, names: Sequence[str]) -> WorkerGroups:
    """Build the groups of the previous epoch.

    Workers are located by their numbers, which are consecutive in a failure domain.
    """
    members = {
        number: Member(name=name, address=f"{name}:1")
        for number, name in enumerate(names)
    }
    groups = WorkerGroups(epoch=_PREVIOUS_EPOCH, count=1, members=members)
    locations = {name: (f"{number:06d}",) for number, name in enumerate(names)}
    return groups.rearrange(count_groups(size), locations)


def place_in_product_group(size: int) -> Placement:
    """Return a placement in the group of the job, for starts without a record."""
    groups = _build_groups(size, [str(number) for number in range(size)])

    def place(case: JobCase, generator: random.Random) -> int:
        return int(generator.choice(groups.list_group(case.job.job_id)))

    return place


class _Successor(NewOwner):
    """New owner that has loaded the groups and places of its predecessor."""

    def __init__(
        self,
        world: World,
        *,
        loaded_ms: float,
        groups: WorkerGroups,
        pages: list[list[Place]],
        silent: set[int],
    ) -> None:
        super().__init__(world, loaded_ms=loaded_ms)
        self.scheduler.predecessors = Predecessors(
            groups=(groups,), places=[place for page in pages for place in page]
        )
        self.scheduler.places = PlaceLedger(epoch=_PREVIOUS_EPOCH + 1)
        for number, page in enumerate(pages):
            self.scheduler.places.load((_PREVIOUS_EPOCH, number), page)
        self.released_ms: dict[TaskId, float] = {}
        self.unsafe: set[TaskId] = set()
        self.settled_at_ms = float("inf")
        self.longest_round_cpu_ms = 0.0
        self._held = dict(_list_pending_tasks(world))
        self._silent_runs = [
            (task, number, case.job.steps[task.step].long_running)
            for case in world.jobs
            for task, number in case.placed.items()
            if number in silent
        ]
        self._next_round_ms = loaded_ms

    def _resolve(self, number: int, now_ms: float) -> None:
        self._next_round_ms = min(self._next_round_ms, now_ms + _ROUND_DELAY_MS)

    def _run_due_round(self, now_ms: float) -> None:
        if now_ms <= self._next_round_ms:
            return
        began_s = time.process_time()
        self._release_tasks(self._next_round_ms)
        elapsed_ms = 1000.0 * (time.process_time() - began_s)
        self.longest_round_cpu_ms = max(self.longest_round_cpu_ms, elapsed_ms)
        self._record_unsafe(self._next_round_ms)
        self._next_round_ms = float("inf")

    def _release_tasks(self, now_ms: float) -> None:
        """Account for the workers that have answered, and release held tasks."""
        account_for_workers(self.scheduler, now_ms)
        if not self.scheduler.predecessors.awaited:
            self.settled_at_ms = min(self.settled_at_ms, now_ms)
        held: dict[TaskId, bool] = {}
        for task, never_ends in self._held.items():
            if self._holds(task, never_ends=never_ends):
                held[task] = never_ends
            else:
                self.released_ms[task] = now_ms
        self._held = held

    def _holds(self, task: TaskId, *, never_ends: bool) -> bool:
        return self.scheduler.predecessors.holds(
            str(task), task.job_id, never_ends=never_ends
        )

    def _record_unsafe(self, now_ms: float) -> None:
        """Record tasks that are not held while a silent worker may still run them."""
        self._silent_runs = [
            row
            for row in self._silent_runs
            if not self._is_accounted(row[1], now_ms, never_ends=row[2])
        ]
        self.unsafe.update(
            task
            for task, _, never_ends in self._silent_runs
            if not self._holds(task, never_ends=never_ends)
        )

    def _is_accounted(self, number: int, now_ms: float, *, never_ends: bool) -> bool:
        """Return whether a task no longer has to wait for a silent worker."""
        worker = self.scheduler.workers[self.world.workers[number]]
        if worker.has_answered_token:
            return True
        return now_ms >= SETTLED_AT_MS and (never_ends or not worker.listed)


def _list_pending_tasks(world: World) -> Iterator[tuple[TaskId, bool]]:
    """Yield the due tasks and the first task of each following step.

    Each task comes with whether it runs without end.
    """
    for case in world.jobs:
        for task in case.waiting:
            yield task, case.job.steps[task.step].long_running
        if case.has_next_step:
            yield TaskId(case.job.job_id, 0, case.step + 1, 0), False


def take_over_by_product_rule(
    world: World, *, silent: set[int], silence: Silence, seed: int
) -> TakeoverOutcome:
    """Simulate a takeover by the rule of the product; return when its tasks may start.

    Starts without a record in ``world`` must be placed by `place_in_product_group`.
    """
    groups = _build_groups(len(world.workers), world.workers)
    pages = [
        [Place(task=str(task), attempt=1, worker=name) for task, name in page]
        for page in list_record_pages(world)
    ]
    sizes = [len(encode_places(page, epoch=_PREVIOUS_EPOCH)) for page in pages]
    reads = measure_reads(world, [len(encode_head(Head(groups=groups))), *sizes])
    loaded_ms = reads.calls * STORE_CALL_MS
    owner = _Successor(
        world, loaded_ms=loaded_ms, groups=groups, pages=pages, silent=silent
    )
    owner.run(silent, silence, seed)
    due: list[float] = []
    recorded: list[float] = []
    later: list[float] = []
    for case in world.jobs:
        for task in case.waiting:
            target = recorded if task in world.recorded else due
            target.append(owner.released_ms[task])
        if case.is_opening(silent):
            first = TaskId(case.job.job_id, 0, case.step + 1, 0)
            held_ms = max(0.0, owner.released_ms[first] - case.next_due_ms)
            later += [held_ms] * case.job.steps[case.step + 1].count
    return TakeoverOutcome(
        loaded_ms=loaded_ms,
        settled_ms=owner.settled_at_ms,
        due_ms=due,
        recorded_ms=recorded,
        later_ms=later,
        unsafe=len(owner.unsafe),
        calls=reads.calls,
        read_bytes=reads.read_bytes,
        record_bytes=reads.record_bytes,
        longest_round_cpu_ms=owner.longest_round_cpu_ms,
    )
