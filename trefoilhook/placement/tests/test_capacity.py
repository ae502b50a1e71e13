"""Tests that no worker is given more than its capacity."""

import unittest

import numpy as np
from hypothesis import given, settings
from hypothesis import strategies as st

from trefoilhook.exceptions import (
    CapacityExceededError,
    UnknownTaskError,
    UnknownWorkerError,
)
from trefoilhook.placement import (
    LATENCY_FIRST,
    Placement,
    Preempt,
    StopOutcome,
    TaskKind,
    begin_preemption,
    decide_placement,
)
from trefoilhook.placement.tests.builders import (
    GIB,
    build_state,
    build_task,
    build_worker,
    run_task,
)

SIZES = st.fixed_dictionaries(
    {
        "cores": st.sampled_from([0.1, 0.3, 1.7, 4.0, 9.9, 16.0, 33.0]),
        "memory_bytes": st.sampled_from([0, GIB, 60 * GIB, 125 * GIB + 1]),
        "accelerators": st.integers(0, 2),
        "urgent": st.booleans(),
        "kind": st.sampled_from(list(TaskKind)),
    }
)
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("start"), SIZES),
        st.tuples(st.just("confirm"), st.integers(0, 50)),
        st.tuples(st.just("stop"), st.integers(0, 50)),
        st.tuples(st.just("stopped"), st.integers(0, 50)),
        st.tuples(st.just("lose"), st.integers(0, 2)),
        st.tuples(st.just("return"), st.integers(0, 2)),
    ),
    max_size=60,
)


def sum_held(running, worker_id):
    """Sum the resources held on a worker according to the driver's own record."""
    held = [
        task.resources for task, holder_id in running.values() if holder_id == worker_id
    ]
    return (
        sum(round(10 * size.cores) for size in held),
        sum(size.memory_bytes for size in held),
        sum(size.accelerators for size in held),
    )


class Driver:
    """Carries out steps as a daemon would and keeps an independent record."""

    def __init__(self):
        self.state = build_state(3, accelerators=1)
        self.rng = np.random.default_rng(0)
        self.running = {}
        self.count = 0

    def start(self, sizes):
        task = build_task(f"task-{self.count}", **sizes)
        self.count += 1
        decision = decide_placement(self.state, task, 0.0, self.rng, LATENCY_FIRST)
        if isinstance(decision, Preempt):
            begin_preemption(self.state, task, decision, 0.0, LATENCY_FIRST)
        if isinstance(decision, Placement):
            self.state.reserve(task, decision.worker_id, 0.0)
            self.running[task.task_id] = (task, decision.worker_id)

    def confirm(self, number):
        self._with_task(number, lambda name: self.state.confirm_started(name, 0.0))

    def stop(self, number):
        self._with_task(number, self.state.begin_stop)

    def stopped(self, number):
        def finish(name):
            self.state.confirm_stopped(name, 0.0, StopOutcome.FINISHED)
            del self.running[name]

        self._with_task(number, finish)

    def lose(self, number):
        try:
            self.state.remove_worker(f"worker-{number}")
        except UnknownWorkerError:
            return

    def _with_task(self, number, change):
        names = sorted(self.running)
        if names:
            change(names[number % len(names)])


class CapacityTest(unittest.TestCase):
    """Hard limits on resources, for any order of events."""

    @settings(max_examples=150, deadline=None, derandomize=True)
    @given(STEPS)
    def test_no_event_order_exceeds_worker_capacity(self, steps):
        driver = Driver()
        for name, argument in steps:
            if name == "return":
                self._bring_back(driver, argument)
            else:
                getattr(driver, name)(argument)
            for number in range(3):
                cores, memory_bytes, accelerators = sum_held(
                    driver.running, f"worker-{number}"
                )
                self.assertLessEqual(cores, 320)
                self.assertLessEqual(memory_bytes, 125 * GIB)
                self.assertLessEqual(accelerators, 1)

    def _bring_back(self, driver, number):
        worker = driver.state.workers.get(f"worker-{number}")
        if worker is None or worker.is_removed:
            driver.state.add_worker(build_worker(number, accelerators=1))

    def test_unconfirmed_start_holds_its_resources(self):
        # Guards against running out of memory on a worker: if only running tasks are
        # counted, two starts are sent to one worker before it confirms the first.
        state = build_state()
        state.reserve(build_task("first", cores=20.0), "worker-0", 0.0)
        with self.assertRaises(CapacityExceededError):
            state.reserve(build_task("second", cores=20.0), "worker-0", 0.0)

    def test_unconfirmed_stop_holds_its_resources(self):
        # Guards against overload while a task stops: a stop can take ten seconds, and
        # both tasks run meanwhile if its resources are reassigned at once.
        state = build_state()
        run_task(state, build_task("first", cores=20.0))
        state.begin_stop("first")
        with self.assertRaises(CapacityExceededError):
            state.reserve(build_task("second", cores=20.0), "worker-0", 0.0)
        state.confirm_stopped("first", 0.0, StopOutcome.EVICTED)
        state.reserve(build_task("second", cores=20.0), "worker-0", 0.0)

    def test_returning_worker_still_holds_its_tasks(self):
        # Guards against filling a worker twice: a lost worker returns with its task
        # still running and appears empty if its record was dropped.
        state = build_state()
        run_task(state, build_task("first", cores=20.0))
        state.remove_worker("worker-0")
        with self.assertRaises(UnknownWorkerError):
            state.reserve(build_task("third", cores=1.0), "worker-0", 0.0)
        state.add_worker(build_worker())
        with self.assertRaises(CapacityExceededError):
            state.reserve(build_task("second", cores=20.0), "worker-0", 0.0)

    def test_restored_task_counts_beyond_capacity(self):
        # Guards against a new owner adding tasks to an overfilled worker because it
        # did not count the restored tasks that exceed the capacity.
        state = build_state()
        state.reserve(build_task("first", cores=30.0), "worker-0", 0.0)
        state.restore(build_task("second", cores=20.0), "worker-0", 0.0)
        state.confirm_stopped("first", 0.0, StopOutcome.FINISHED)
        with self.assertRaises(CapacityExceededError):
            state.reserve(build_task("third", cores=20.0), "worker-0", 0.0)

    def test_task_is_not_reserved_twice(self):
        # Guards against running a task twice: its start is retried on another worker
        # while the first worker still holds it.
        state = build_state(2)
        state.reserve(build_task(), "worker-0", 0.0)
        with self.assertRaises(UnknownTaskError):
            state.reserve(build_task(), "worker-1", 0.0)

    def test_exact_fit_is_accepted_despite_rounding(self):
        # Guards against a task that fills a worker exactly waiting forever: summed
        # one by one, 0.1, 0.2 and 0.3 cores exceed 0.6 by a rounding error.
        state = build_state(cores=0.6)
        for number, cores in enumerate((0.1, 0.2, 0.3)):
            state.reserve(build_task(f"t-{number}", cores=cores), "worker-0", 0.0)

    def test_rounding_neither_loses_nor_adds_capacity(self):
        state = build_state(cores=1.0)
        for number in range(10):
            state.reserve(build_task(f"task-{number}", cores=0.1), "worker-0", 0.0)
        with self.assertRaises(CapacityExceededError):
            state.reserve(build_task("more", cores=1e-9), "worker-0", 0.0)
        for number in range(10):
            state.confirm_stopped(f"task-{number}", 0.0, StopOutcome.CANCELLED)
        state.reserve(build_task("whole", cores=1.0), "worker-0", 0.0)
