"""Tests of throttling, eviction and quarantine."""

import unittest

import attrs
import numpy as np

from trefoilhook.placement import (
    LATENCY_FIRST,
    Impossible,
    ReactionKind,
    ServiceSlowdown,
    StopOutcome,
    TaskKind,
    UsageReport,
    apply_reaction,
    decide_placement,
    decide_reactions,
)
from trefoilhook.placement.table import ROOM_OPEN
from trefoilhook.placement.tests.builders import (
    build_state,
    build_task,
    build_worker,
    run_task,
)

REPORT_MS = 10_000.0


class SimulatedShard:
    """Workers that each run a service and batch tasks, with a virtual clock."""

    def __init__(self, workers=8, policy=LATENCY_FIRST, batch=1):
        self.policy = policy
        self.state = build_state(workers)
        self.now_ms = 0.0
        for number in range(workers):
            service = build_task(
                f"service-{number}", kind=TaskKind.SERVICE, task_class="seat-check"
            )
            run_task(self.state, service, f"worker-{number}")
            for count in range(batch):
                task = build_task(
                    f"batch-{number}-{count}", declared_run_ms=36_000_000.0
                )
                run_task(self.state, task, f"worker-{number}")

    def report(self, slowdown, workers=(0,)):
        """Advance by one report period and return the kinds of the reactions."""
        self.now_ms += REPORT_MS
        for number in workers:
            report = UsageReport(
                worker_id=f"worker-{number}",
                measured_at_ms=self.now_ms,
                window_ms=REPORT_MS - 1.0,
                usage=(),
                slowdowns=(
                    ServiceSlowdown(task_id=f"service-{number}", slowdown=slowdown),
                ),
            )
            self.state.apply_usage_report(report, self.now_ms)
        return self.react()

    def react(self):
        """Decide and apply the reactions, as a daemon would."""
        reactions = decide_reactions(self.state, self.now_ms, self.policy)
        for reaction in reactions:
            apply_reaction(self.state, reaction, self.now_ms, self.policy)
        return [reaction.kind for reaction in reactions]


class EscalationTest(unittest.TestCase):
    """Escalation and release, one step at a time."""

    def test_single_noisy_report_triggers_no_reaction(self):
        # Guards against throttling batch tasks because of isolated noisy reports while
        # the services are within their target.
        shard = SimulatedShard()
        for slowdown in (1.0, 1.5, 1.0, 1.5, 1.0):
            self.assertEqual(shard.report(slowdown), [])

    def test_throttle_twice_then_evict(self):
        shard = SimulatedShard()
        kinds = [kind for _ in range(20) for kind in shard.report(1.5)]
        self.assertEqual(
            kinds,
            [
                ReactionKind.THROTTLE,
                ReactionKind.THROTTLE,
                ReactionKind.CHECKPOINT_EVICT,
            ],
        )

    def test_evicted_task_moves_to_admissible_worker(self):
        shard = SimulatedShard()
        shard.state.add_worker(build_worker(8))
        for _ in range(10):
            shard.report(1.5)
        earmark = shard.state.earmarks["batch-0-0"]
        self.assertEqual(earmark.worker_id, "worker-8")
        task = shard.state.tasks["batch-0-0"].shape
        shard.state.confirm_stopped("batch-0-0", shard.now_ms, StopOutcome.EVICTED)
        rng = np.random.default_rng(1)
        decision = decide_placement(shard.state, task, shard.now_ms, rng, LATENCY_FIRST)
        self.assertEqual(decision.worker_id, "worker-8")

    def test_step_waits_for_effect_of_previous_step(self):
        # Guards against escalating too early: reports measured before a throttling step
        # arrive after it and must not count as evidence that it had no effect.
        shard = SimulatedShard()
        shard.report(1.5)
        self.assertEqual(shard.report(1.5), [ReactionKind.THROTTLE])
        self.assertEqual(shard.react(), [])
        self.assertEqual(shard.report(1.5), [])
        self.assertEqual(shard.report(1.5), [ReactionKind.THROTTLE])

    def test_throttling_is_undone_after_recovery(self):
        shard = SimulatedShard()
        for _ in range(2):
            shard.report(1.5)
        kinds = [kind for _ in range(12) for kind in shard.report(1.01)]
        self.assertEqual(kinds, [ReactionKind.UNTHROTTLE])
        self.assertEqual(shard.state.tasks["batch-0-0"].speed, 1.0)

    def test_widespread_slowdown_evicts_nothing(self):
        # Guards against mass eviction: noise slows the services of all workers at the
        # same time, and each worker would evict independently.
        shard = SimulatedShard()
        kinds = {kind for _ in range(40) for kind in shard.report(1.5, range(8))}
        self.assertEqual(kinds, {ReactionKind.THROTTLE})

    def test_task_about_to_end_is_not_evicted(self):
        shard = SimulatedShard(batch=0)
        run_task(shard.state, build_task("short", declared_run_ms=1_000_000.0))
        shard.now_ms = 880_000.0
        kinds = {kind for _ in range(11) for kind in shard.report(1.5)}
        self.assertEqual(kinds, {ReactionKind.THROTTLE})

    def test_eviction_budgets(self):
        # Guards against a task that never finishes because it interferes most and is
        # evicted again after each restart.
        table = [
            ({"task_eviction_limit": 1}, 1),
            ({"victim_rest_ms": 1e12}, 1),
            ({"task_eviction_limit": 9, "victim_rest_ms": 0.0}, 5),
            (
                {
                    "task_eviction_limit": 9,
                    "victim_rest_ms": 0.0,
                    "team_evictions_per_hour": 2.0,
                },
                2,
            ),
        ]
        for settings, count in table:
            with self.subTest(settings=settings):
                policy = attrs.evolve(
                    LATENCY_FIRST, throttle_floor=1.0, evict_after_ms=0.0, **settings
                )
                self.assertEqual(
                    self.count_evictions(SimulatedShard(policy=policy)), count
                )

    def count_evictions(self, shard):
        task = shard.state.tasks["batch-0-0"].shape
        evictions = 0
        for _ in range(5):
            kinds = [kind for _ in range(3) for kind in shard.report(1.5)]
            if ReactionKind.CHECKPOINT_EVICT in kinds:
                evictions += 1
                shard.state.confirm_stopped(
                    task.task_id, shard.now_ms, StopOutcome.EVICTED
                )
                run_task(shard.state, task, now_ms=shard.now_ms)
        return evictions


class QuarantineTest(unittest.TestCase):
    """Quarantine of faulty workers, and jobs that fail on every worker."""

    def fail_task(self, shard, task_id, worker_id="worker-0"):
        run_task(shard.state, build_task(task_id), worker_id)
        shard.state.confirm_stopped(task_id, shard.now_ms, StopOutcome.FAILED)

    def test_failing_worker_is_quarantined_and_retried(self):
        # Guards against a faulty worker attracting all jobs: it fails them immediately
        # and so always has free resources. The quarantine must not be permanent.
        shard = SimulatedShard(workers=1, batch=0)
        for number in range(3):
            self.fail_task(shard, f"task-{number}")
        self.assertEqual(shard.react(), [ReactionKind.QUARANTINE])
        self.assertEqual(shard.state.table.room[0, ROOM_OPEN], 0.0)
        shard.now_ms += LATENCY_FIRST.quarantine_ms
        self.assertEqual(shard.react(), [ReactionKind.RELEASE])
        self.fail_task(shard, "probe")
        self.assertEqual(shard.react(), [ReactionKind.QUARANTINE])
        until_ms = shard.state.workers["worker-0"].health.quarantined_until_ms
        self.assertEqual(until_ms - shard.now_ms, 2.0 * LATENCY_FIRST.quarantine_ms)

    def test_worker_on_probation_gets_one_task_at_a_time(self):
        # Guards against many failures after a quarantine: a faulty worker that is
        # reopened has the most free resources and failed forty jobs within a minute.
        shard = SimulatedShard(workers=1, batch=0)
        for number in range(3):
            self.fail_task(shard, f"task-{number}")
        shard.react()
        shard.now_ms += LATENCY_FIRST.quarantine_ms
        shard.react()
        shard.state.confirm_stopped("service-0", shard.now_ms, StopOutcome.CANCELLED)
        self.assertEqual(shard.state.table.room[0, ROOM_OPEN], 1.0)
        run_task(shard.state, build_task("probe"))
        self.assertEqual(shard.state.table.room[0, ROOM_OPEN], 0.0)
        shard.state.confirm_stopped("probe", shard.now_ms, StopOutcome.FINISHED)
        run_task(shard.state, build_task("next"))
        self.assertEqual(shard.state.table.room[0, ROOM_OPEN], 1.0)

    def test_failures_on_faulty_workers_do_not_refuse_job(self):
        # Guards against refusing a valid job because it was tried on three faulty
        # workers in turn.
        shard = SimulatedShard(workers=4, batch=0)
        for number in range(3):
            for count in range(3):
                self.fail_task(shard, f"other-{number}-{count}", f"worker-{number}")
        shard.react()
        for number in range(3):
            shard.state.history("task").failed_on.add(f"worker-{number}")
        rng = np.random.default_rng(1)
        decision = decide_placement(
            shard.state, build_task(), shard.now_ms, rng, LATENCY_FIRST
        )
        self.assertNotIsInstance(decision, Impossible)

    def test_faulty_jobs_quarantine_no_worker(self):
        # Guards against faulty jobs closing one worker after another: a job that fails
        # on several workers must not count against any of them.
        shard = SimulatedShard(workers=2, batch=0)
        for number in range(6):
            self.fail_task(shard, f"broken-{number}", "worker-0")
            self.fail_task(shard, f"broken-{number}", "worker-1")
        self.assertEqual(shard.react(), [])
