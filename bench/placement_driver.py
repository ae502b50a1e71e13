"""Discrete-event driver that applies placement decisions to a simulated fleet."""

import heapq
import itertools
from collections.abc import Callable

import attrs
import numpy as np

from bench.placement_load import draw_arrivals
from bench.placement_measure import EXCESS_BINS, summarize_run
from bench.placement_world import World
from trefoilhook.placement import (
    Impossible,
    Placement,
    Policy,
    Preempt,
    ReactionKind,
    Resources,
    ServiceSlowdown,
    ShardState,
    StopOutcome,
    TaskKind,
    TaskUsage,
    UsageReport,
    Wait,
    WaitingTask,
    WorkerShape,
    apply_reaction,
    begin_preemption,
    decide_placement,
    decide_reactions,
    order_queue,
    score_rows,
)

__all__ = ["Scheme", "run_scheme"]

START_DELAY_S = (0.1, 0.3)
CHECKPOINT_DELAY_S = (0.5, 2.5)
REDONE_PER_EVICTION_S = 20.0
DETECTION_DELAY_S = 10.0
REPLACEMENT_DELAY_S = 300.0
MEASUREMENT_START_S = 600.0
"""Every service is redeployed once before this time, as by a daily release."""

BATCH_INTERVAL_S = 3
MAX_WAITS_PER_PASS = 10


@attrs.frozen(kw_only=True)
class Scheme:
    """A placement scheme under test.

    Parameters
    ----------
    name : str
        Name in the report.
    policy : Policy
        Weights of the decisions.
    build_scorer : callable
        Builds the function that scores workers for a task.
    react : callable
        Decides the reactions to reported slowdowns.
    prepare : callable
        Modifies the initial state.
    after_step : callable
        Modifies the state after each step.
    immediate_reports : bool
        Whether usage reports are delivered without delay.
    order : callable
        Orders the waiting tasks.
    """

    name: str
    policy: Policy
    build_scorer: Callable = lambda world, driver: score_rows
    react: Callable = decide_reactions
    prepare: Callable = lambda state: None
    after_step: Callable = lambda world, state: None
    immediate_reports: bool = False
    order: Callable = order_queue


@attrs.define(kw_only=True)
class Driver:
    """State of one simulation run."""

    world: World
    scheme: Scheme
    state: ShardState = attrs.field(factory=ShardState)
    rng: np.random.Generator
    events: list = attrs.field(factory=list)
    event_numbers: itertools.count = attrs.field(factory=itertools.count)
    arrivals: dict = attrs.field(factory=dict)
    waiting: dict = attrs.field(factory=dict)
    done_s: dict = attrs.field(factory=dict)
    stopping: set = attrs.field(factory=set)
    moves: dict = attrs.field(factory=dict)
    submitted_at_s: dict = attrs.field(factory=dict)
    started_urgent: set = attrs.field(factory=set)
    urgent_waits_s: list = attrs.field(factory=list)
    down_workers: set = attrs.field(factory=set)
    failing_workers: set = attrs.field(factory=set)
    finished: int = 0
    refused: int = 0
    evicted: int = 0
    preempted: int = 0
    throttles: int = 0
    lost_core_s: float = 0.0
    excess_histogram: np.ndarray = attrs.field(
        factory=lambda: np.zeros(len(EXCESS_BINS) + 1)
    )
    excess_samples: list = attrs.field(factory=list)
    late_service_s: float = 0.0
    service_s: float = 0.0
    score: Callable = score_rows
    clock_s: float = 0.0

    def schedule(self, at_s, action, *arguments):
        """Schedule a call at a virtual time, in s."""
        entry = (at_s, next(self.event_numbers), action, arguments)
        heapq.heappush(self.events, entry)

    @property
    def now_ms(self):
        """Virtual time of the current event, in ms."""
        return self.clock_s * 1000.0

    def submit(self, arrival):
        """Accept a submitted task."""
        task_id = arrival.shape.task_id
        self.arrivals[task_id] = arrival
        self.submitted_at_s[task_id] = arrival.at_s
        self.enqueue(task_id)
        if arrival.shape.urgent:
            self.place_waiting(urgent_only=True)

    def enqueue(self, task_id):
        """Queue a task; a requeued task keeps its original submission time."""
        self.waiting[task_id] = WaitingTask(
            shape=self.arrivals[task_id].shape,
            queued_at_ms=self.submitted_at_s[task_id] * 1000.0,
        )

    def place_waiting(self, urgent_only):
        """Try to place waiting tasks, in queue order."""
        pool = self.waiting.values()
        if urgent_only:
            pool = [entry for entry in pool if entry.shape.urgent]
        if not pool:
            return
        ordered = self.scheme.order(self.state, pool, self.now_ms, self.scheme.policy)
        waits = 0
        for entry in ordered:
            shape = entry.shape
            decision = decide_placement(
                self.state,
                shape,
                self.now_ms,
                self.rng,
                self.scheme.policy,
                score=self.score,
            )
            self.apply_decision(shape, decision)
            batch = shape.kind is TaskKind.BATCH and not shape.urgent
            waits += batch and isinstance(decision, Wait)
            if waits >= MAX_WAITS_PER_PASS:
                break

    def apply_decision(self, shape, decision):
        """Apply a placement decision."""
        if isinstance(decision, Placement):
            self.launch(shape, decision.worker_id)
        elif isinstance(decision, Impossible):
            self.refused += 1
            del self.waiting[shape.task_id]
            self.state.forget_task(shape.task_id)
        elif isinstance(decision, Preempt):
            begin_preemption(
                self.state, shape, decision, self.now_ms, self.scheme.policy
            )
            for task_id in decision.victims:
                self.preempted += 1
                self.request_checkpoint(task_id)

    def launch(self, shape, worker_id):
        """Reserve resources and schedule the start on the worker."""
        task_id = shape.task_id
        del self.waiting[task_id]
        self.state.reserve(shape, worker_id, self.now_ms)
        delay_s = self.world.rng.uniform(*START_DELAY_S)
        self.schedule(self.clock_s + delay_s, self.started, task_id, worker_id)

    def started(self, task_id, worker_id):
        """Handle the start of a task on its worker."""
        held = self.state.tasks.get(task_id)
        if (
            held is None
            or held.worker_id != worker_id
            or worker_id in self.down_workers
        ):
            return
        arrival = self.arrivals[task_id]
        shape = arrival.shape
        self.state.confirm_started(task_id, self.now_ms)
        self.world.start(
            shape,
            int(worker_id[1:]),
            arrival.true_cores,
            arrival.noise,
            arrival.needed_s,
            self.done_s.get(task_id, 0.0),
            shape.kind is TaskKind.SERVICE,
        )
        if shape.urgent and task_id not in self.started_urgent:
            self.started_urgent.add(task_id)
            self.urgent_waits_s.append(self.clock_s - self.submitted_at_s[task_id])
        if shape.kind is TaskKind.BATCH and (
            worker_id in self.failing_workers or arrival.fails_always
        ):
            self.schedule(self.clock_s + 2.0, self.handle_failure, task_id)

    def handle_failure(self, task_id):
        """Handle the failure of a task on its worker."""
        if task_id not in self.world.tasks or task_id in self.stopping:
            return
        self.world.stop(task_id)
        self.state.confirm_stopped(task_id, self.now_ms, StopOutcome.FAILED)
        self.enqueue(task_id)

    def request_checkpoint(self, task_id):
        """Request that a worker checkpoint and stop a task."""
        self.stopping.add(task_id)
        delay_s = self.world.rng.uniform(*CHECKPOINT_DELAY_S)
        self.schedule(self.clock_s + delay_s, self.complete_checkpoint, task_id)

    def complete_checkpoint(self, task_id):
        """Handle the confirmation that a task has stopped; queue it again."""
        if task_id not in self.world.tasks:
            return
        self.stopping.discard(task_id)
        done_s = self.world.stop(task_id)
        self.state.confirm_stopped(task_id, self.now_ms, StopOutcome.EVICTED)
        lost_s = min(REDONE_PER_EVICTION_S, done_s)
        self.count_lost_work(task_id, lost_s)
        self.done_s[task_id] = done_s - lost_s
        self.enqueue(task_id)
        self.place_waiting(urgent_only=True)

    def count_lost_work(self, task_id, lost_s):
        """Subtract work that has to be repeated from the useful work."""
        true_cores = self.arrivals[task_id].true_cores
        self.lost_core_s += lost_s * true_cores
        self.world.useful_core_s -= lost_s * true_cores

    def complete_finished_tasks(self):
        """Finish the tasks that have completed their work."""
        world = self.world
        is_finished = world.alive & (world.progress_s >= world.needed_s)
        if not is_finished.any():
            return
        slots = set(np.flatnonzero(is_finished).tolist())
        for task_id, slot in list(world.tasks.items()):
            if slot in slots:
                self.stopping.discard(task_id)
                world.stop(task_id)
                self.state.confirm_stopped(task_id, self.now_ms, StopOutcome.FINISHED)
                self.finished += 1

    def send_reports(self, index):
        """Schedule delivery of the usage reports due in this step.

        Workers report in turn, a different subset in each step of the interval.
        """
        world, interval_s = self.world, self.world.conditions.report_every_s
        phase = int(world.now_s) % interval_s
        for worker in range(phase, world.user.workers, interval_s):
            if f"w{worker}" in self.down_workers:
                continue
            report = self.build_report(worker)
            lag_s = 0.0
            if not self.scheme.immediate_reports:
                lag_s = world.rng.uniform(
                    world.conditions.least_lag_s, world.conditions.most_lag_s
                )
            self.schedule(world.now_s + lag_s, self.receive_report, report)

    def build_report(self, worker):
        """Build a usage report of a worker since its last report."""
        world = self.world
        usage, slowdowns = [], []
        for task_id in self.state.workers[f"w{worker}"].residents:
            slot = world.tasks.get(task_id)
            if slot is None or not world.seen[slot]:
                continue
            samples = world.seen[slot]
            used = Resources(
                cores=float(world.used_sum[slot] / samples),
                memory_bytes=0,
                accelerators=0,
            )
            usage.append(TaskUsage(task_id=task_id, used=used))
            if world.service[slot]:
                noise = world.rng.normal(0.0, world.conditions.report_noise)
                slowdown = float(world.slowdown_sum[slot] / samples) + noise
                slowdowns.append(ServiceSlowdown(task_id=task_id, slowdown=slowdown))
            for column in (world.used_sum, world.slowdown_sum, world.seen):
                column[slot] = 0.0
        return UsageReport(
            worker_id=f"w{worker}",
            measured_at_ms=self.now_ms,
            window_ms=world.conditions.report_every_s * 1000.0,
            usage=tuple(usage),
            slowdowns=tuple(slowdowns),
        )

    def receive_report(self, report):
        """Process a delayed usage report."""
        self.state.apply_usage_report(report, self.now_ms)

    def apply_reactions(self):
        """Apply the reactions to the reported slowdowns."""
        policy = self.scheme.policy
        for reaction in self.scheme.react(self.state, self.now_ms, policy):
            apply_reaction(self.state, reaction, self.now_ms, policy)
            kind = reaction.kind
            if kind in (ReactionKind.THROTTLE, ReactionKind.UNTHROTTLE):
                self.throttles += kind is ReactionKind.THROTTLE
                # The command is lost if the worker is down and the shard has not yet
                # detected it.
                slot = self.world.tasks.get(reaction.task_id)
                if slot is not None:
                    self.world.speed[slot] = reaction.speed
            elif kind in (ReactionKind.CHECKPOINT_EVICT, ReactionKind.MOVE):
                self.evicted += 1
                self.request_checkpoint(reaction.task_id)

    def fail_worker(self, worker_id):
        """Fail a worker and stop all of its tasks."""
        self.down_workers.add(worker_id)
        for task_id in list(self.state.workers[worker_id].residents):
            if task_id in self.world.tasks:
                done_s = self.world.stop(task_id)
                if np.isfinite(self.arrivals[task_id].needed_s):
                    self.world.useful_core_s -= (
                        done_s - self.done_s.get(task_id, 0.0)
                    ) * self.arrivals[task_id].true_cores
        self.schedule(self.world.now_s + DETECTION_DELAY_S, self.detect_loss, worker_id)
        self.schedule(
            self.world.now_s + REPLACEMENT_DELAY_S, self.replace_worker, worker_id
        )

    def detect_loss(self, worker_id):
        """Remove a failed worker and requeue its tasks, as its leases have expired."""
        residents = list(self.state.workers[worker_id].residents)
        self.state.remove_worker(worker_id)
        for task_id in residents:
            self.stopping.discard(task_id)
            self.state.confirm_stopped(task_id, self.now_ms, StopOutcome.LOST)
            self.enqueue(task_id)

    def replace_worker(self, worker_id):
        """Add the replacement of a failed worker."""
        self.down_workers.discard(worker_id)
        self.state.add_worker(self.build_worker_shape(int(worker_id[1:])))

    def build_worker_shape(self, number):
        """Build the description of a worker."""
        user = self.world.user
        return WorkerShape(
            worker_id=f"w{number}",
            rack=f"r{number // user.rack_size}",
            failure_domain=f"d{number // user.rack_size % 3}",
            capacity=Resources(
                cores=user.cores, memory_bytes=user.memory_bytes, accelerators=0
            ),
        )

    def redeploy_service(self, task_id):
        """Stop a service for a new release and queue it for placement."""
        if task_id not in self.world.tasks:
            return
        self.world.stop(task_id)
        self.state.confirm_stopped(task_id, self.now_ms, StopOutcome.CANCELLED)
        self.enqueue(task_id)

    def cancel_waiting_tasks(self):
        """Cancel a third of the waiting batch tasks."""
        names = [name for name in self.waiting if name.startswith("batch")]
        for task_id in names[::3]:
            del self.waiting[task_id]
            self.state.forget_task(task_id)

    def record_slowdowns(self, index):
        """Record the current slowdowns of services."""
        services = index[self.world.service[index]]
        excess = self.world.slowdown[services] - 1.0
        if self.world.now_s < MEASUREMENT_START_S or not len(excess):
            self.excess_samples.append(np.zeros(0))
            return
        bins = np.searchsorted(EXCESS_BINS, excess, side="right")
        self.excess_histogram += np.bincount(bins, minlength=len(self.excess_histogram))
        self.excess_samples.append(excess)
        self.late_service_s += float((excess > 0.1).sum())
        self.service_s += len(excess)


def _schedule_faults(driver):
    conditions, user = driver.world.conditions, driver.world.user
    rng = np.random.default_rng([conditions.seed, 3])
    chosen = rng.choice(user.workers, size=user.workers, replace=False)
    count = conditions.worker_losses
    for number in chosen[:count]:
        at_s = float(rng.uniform(300.0, conditions.horizon_s - 600.0))
        driver.schedule(at_s, driver.fail_worker, f"w{number}")
    for number in chosen[count : count + conditions.black_holes]:
        at_s = float(rng.uniform(300.0, conditions.horizon_s - 900.0))
        driver.schedule(at_s, driver.failing_workers.add, f"w{number}")
        driver.schedule(at_s + 900.0, driver.failing_workers.discard, f"w{number}")
    driver.schedule(0.4 * conditions.horizon_s, driver.cancel_waiting_tasks)
    for number in range(user.services):
        at_s = float(rng.uniform(MEASUREMENT_START_S / 3, MEASUREMENT_START_S))
        driver.schedule(at_s, driver.redeploy_service, f"service-{number}")


def run_scheme(scheme, user, conditions):
    """Simulate one scheme under seeded conditions.

    Returns
    -------
    Outcome
        Summary statistics of the run.
    """
    world = World.build(user, conditions)
    driver = Driver(
        world=world, scheme=scheme, rng=np.random.default_rng([conditions.seed, 4])
    )
    scheme.prepare(driver.state)
    for number in range(user.workers):
        driver.state.add_worker(driver.build_worker_shape(number))
    driver.score = scheme.build_scorer(world, driver)
    for arrival in draw_arrivals(user, conditions):
        driver.schedule(arrival.at_s, driver.submit, arrival)
    _schedule_faults(driver)
    while world.now_s < conditions.horizon_s:
        index = world.step()
        driver.record_slowdowns(index)
        while driver.events and driver.events[0][0] <= world.now_s:
            driver.clock_s, _, action, arguments = heapq.heappop(driver.events)
            action(*arguments)
        driver.clock_s = world.now_s
        driver.complete_finished_tasks()
        driver.send_reports(index)
        scheme.after_step(world, driver.state)
        step = int(world.now_s)
        if step % BATCH_INTERVAL_S == 0:
            driver.apply_reactions()
        driver.place_waiting(urgent_only=step % BATCH_INTERVAL_S != 0)
    return summarize_run(driver)
