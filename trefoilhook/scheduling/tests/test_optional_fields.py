"""Property test: no accepted value of a job, queue or worker makes planning fail."""

import json
import unittest
from typing import Any

import attrs
from hypothesis import given, settings
from hypothesis import strategies as st

from trefoilhook.platform import decode_configuration, decode_job
from trefoilhook.runtime.latejobs import describe_size
from trefoilhook.scheduling import (
    EndKind,
    JobPhase,
    Running,
    StartOrder,
    TaskId,
    decode_job_record,
    decode_progress,
    encode_job_record,
    encode_progress,
)
from trefoilhook.scheduling.advice_requests import choose_advice_request
from trefoilhook.scheduling.backlog import measure_backlogs
from trefoilhook.scheduling.long_waits import list_long_waits
from trefoilhook.scheduling.models import Configuration
from trefoilhook.scheduling.shortfall import ShortfallCounter
from trefoilhook.scheduling.tests.cases import Shard

_MAX_INTEGER = 2**53 - 1
_MAX_NUMBER = 1e18

_OMITTED = object()

_AMOUNT = st.sampled_from([_OMITTED, 0, 1, 500, _MAX_INTEGER])
_TIME_MS = st.sampled_from([_OMITTED, 0, 0.5, 700, _MAX_NUMBER])
_FLAG = st.sampled_from([_OMITTED, False, True])
_NAME = st.sampled_from([_OMITTED, "", "a", "b"])

_STEP_FIELDS: dict[str, st.SearchStrategy] = {
    "count": st.integers(1, 3),
    "cpu": _AMOUNT,
    "mem_mb": _AMOUNT,
    "gpu": st.sampled_from([_OMITTED, 0, 1]),
    "estimate_ms": _TIME_MS,
    "checkpointing": _FLAG,
    "gang": _FLAG,
    "rack_local": _FLAG,
    "requirements": _NAME,
    "affinity": _NAME,
    "anti_affinity": st.sampled_from([_OMITTED, 0, 1]),
    "speculative": _FLAG,
    "long_running": _FLAG,
    "image": _NAME,
    "target_ms": _TIME_MS,
    "fill_count": _FLAG,
    "miss_allowed": st.sampled_from([_OMITTED, 0, 1]),
    "after": st.sampled_from([_OMITTED, [], [0]]),
}

_JOB_FIELDS: dict[str, st.SearchStrategy] = {
    "spec": st.sampled_from([_OMITTED, "", "x"]),
    "repeat_count": st.sampled_from([_OMITTED, 0, 1, 2]),
    "start_at_ms": _TIME_MS,
    "interval_ms": _TIME_MS,
}

_QUEUE_FIELDS: dict[str, st.SearchStrategy] = {
    "priority": st.sampled_from([_OMITTED, 0, 1, _MAX_INTEGER]),
    "max_attempts": st.sampled_from([_OMITTED, 1, 2]),
    "stretch": st.sampled_from([_OMITTED, 0, 1.5, _MAX_NUMBER]),
    "target_latency_ms": _TIME_MS,
}

_FIGURE = st.sampled_from([None, 0.0, 0.5, 60.0, 100.0, _MAX_NUMBER])
"""A figure that a worker reports of a run; None if it is unreadable."""

_CAPACITY = st.sampled_from([0, 1, 4000, 32_000])


def _build_table(fields: dict[str, st.SearchStrategy]) -> st.SearchStrategy:
    """Return a strategy of JSON objects without the omitted fields."""
    return st.fixed_dictionaries(fields).map(
        lambda table: {k: v for k, v in table.items() if v is not _OMITTED}
    )


def _drop_dependencies(steps: list[dict[str, Any]]) -> list[dict[str, Any]]:
    return [{**step, "after": []} for step in steps[:1]] + steps[1:]


_STEPS = st.lists(_build_table(_STEP_FIELDS), max_size=2)

_JOBS = st.lists(
    st.tuples(_build_table(_JOB_FIELDS), _STEPS.map(_drop_dependencies)),
    min_size=1,
    max_size=3,
)


@attrs.frozen(kw_only=True)
class _Reports:
    """What the workers report: their capacity, and two figures of each run."""

    cpu: int
    percent: float | None
    load: float | None
    kind: EndKind


_REPORTS = st.builds(
    _Reports,
    cpu=_CAPACITY,
    percent=_FIGURE,
    load=_FIGURE,
    kind=st.sampled_from(list(EndKind)),
)


_STRAYS = st.lists(
    st.builds(
        TaskId,
        st.sampled_from([f"{1:016x}", "unknown"]),
        *(st.sampled_from([0, 7]) for _ in range(3)),
    ),
    max_size=2,
)
"""Runs of tasks that may not exist, or of jobs that the owner does not know."""


def _decode_configuration(queue: dict[str, Any]) -> Configuration:
    route = {"name": "checks", "host": "h", "prefix": "/", "service": "s", **queue}
    document = {"version": 2, "routes": [route], "services": [{"name": "s"}]}
    found = decode_configuration(json.dumps(document).encode())
    assert not found.problems, found.problems
    return found.configuration


def _advance(shard: Shard, reports: _Reports) -> None:
    """Plan, execute the orders, and answer polls with the given figures."""
    shard.step()
    for worker in shard.workers.values():
        for task, attempt in list(worker.running):
            worker.update(task, attempt, percent=reports.percent, load=reports.load)
    shard.advance_time(600.0)
    shard.poll_all()
    shard.step()


def _report_state(shard: Shard) -> None:
    """Build what an owner logs and asks about its waiting tasks."""
    scheduler = shard.scheduler
    times = {"now_ms": shard.now_ms, "wall_ms": shard.now_ms}
    list(measure_backlogs(scheduler, scheduler.waiting, **times))
    list(list_long_waits(scheduler, min_wait_ms=0.0, now_ms=shard.now_ms))
    choose_advice_request(scheduler, shard.now_ms)
    for state in scheduler.jobs.values():
        describe_size(state.job)
        if state.queue is not None:
            round(state.queue.compute_objective(state.job) or 0.0)
    counter = ShortfallCounter()
    counter.sample(scheduler)
    list(counter.collect(scheduler, now_ms=shard.now_ms))


def _end_one(shard: Shard, kind: EndKind) -> None:
    """End one run on each worker."""
    for worker_id, worker in shard.workers.items():
        for task, attempt in list(worker.running)[:1]:
            worker.end(task, attempt, kind)
        shard.poll(worker_id)


def _add_strays(shard: Shard, strays: list[TaskId]) -> None:
    """Let the first worker run further tasks, and report the end of one of them."""
    worker = shard.workers["w0"]
    for task in strays:
        worker.running[task, 9] = Running(
            task=task, attempt=9, checkpoint="", percent=None, load=None
        )
    if strays:
        worker.end(strays[0], 9, EndKind.FAILED)


def _take_over(shard: Shard, cpu: int) -> Shard:
    """Return the next owner, which knows what the store and the workers hold."""
    successor = Shard(workers=0, epoch=2)
    successor.now_ms = shard.now_ms
    successor.scheduler.set_configuration(shard.scheduler.configuration)
    successor.workers = shard.workers
    for state in shard.scheduler.jobs.values():
        progress = None
        if state.started:
            progress = decode_progress(encode_progress(state.progress))
        successor.scheduler.add_job(
            decode_job_record(encode_job_record(state.record())),
            revision=1,
            is_new=False,
            wall_ms=shard.now_ms,
            progress=progress,
        )
    for worker_id in list(shard.workers):
        successor.add_worker(worker_id, cpu=cpu)
    return successor


class OptionalFieldsTest(unittest.TestCase):
    """An owner that has just taken over plans whatever was accepted."""

    @settings(max_examples=150, deadline=None)
    @given(
        jobs=_JOBS,
        queue=_build_table(_QUEUE_FIELDS),
        first=_REPORTS,
        second=_REPORTS,
        strays=_STRAYS,
    )
    def test_no_accepted_value_fails_an_owner(self, jobs, queue, first, second, strays):
        # Guards against a job whose optional field of 0 ends every owner.
        shard = Shard(workers=2, cpu=first.cpu)
        shard.scheduler.set_configuration(_decode_configuration(queue))
        service = {"count": 1, "long_running": True, "target_ms": 20, "image": "s"}
        rows = [({}, [service]), *jobs]
        for number, (fields, steps) in enumerate(rows):
            body = json.dumps({**fields, "steps": steps}).encode()
            job = decode_job(
                body,
                job_id=f"{number:016x}",
                queue="checks",
                accepted_ms=shard.now_ms,
            )
            shard.submit(job)
        _advance(shard, first)
        _end_one(shard, first.kind)
        _advance(shard, second)
        _report_state(shard)
        _add_strays(shard, strays)
        successor = _take_over(shard, second.cpu)
        _report_state(successor)
        _advance(successor, second)
        _end_one(successor, second.kind)
        _advance(successor, first)
        _report_state(successor)
        self._check_state(successor)

    def _check_state(self, shard: Shard) -> None:
        """Check that all jobs are known, and that closed ones start nothing."""
        for state in shard.scheduler.jobs.values():
            if state.phase is not JobPhase.OPEN:
                self.assertFalse(shard.scheduler.waiting & set(state.tasks.values()))
        orders = shard.plan()
        for order in orders:
            if isinstance(order, StartOrder):
                self.assertTrue(shard.scheduler.jobs[order.task.job_id].is_open)
