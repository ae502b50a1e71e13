"""Throttling, eviction and quarantine."""

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


class Scene:
    """Workers with a service and a batch task each, and a virtual time."""

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
        """Let one report period pass; return the kinds of what is then done."""
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
            self.state.observe_usage(report, self.now_ms)
        return self.react()

    def react(self):
        """Decide and carry out, as a daemon would."""
        reactions = decide_reactions(self.state, self.now_ms, self.policy)
        for reaction in reactions:
            apply_reaction(self.state, reaction, self.now_ms, self.policy)
        return [reaction.kind for reaction in reactions]


class EscalationTest(unittest.TestCase):
    """One step at a time, up and down."""

    def test_one_noisy_report_does_nothing(self):
        # Batch work is throttled all evening though services are well. One report in
        # a dozen was noise, and each was acted on.
        scene = Scene()
        for slowdown in (1.0, 1.5, 1.0, 1.5, 1.0):
            self.assertEqual(scene.report(slowdown), [])

    def test_throttle_twice_then_evict(self):
        scene = Scene()
        kinds = [kind for _ in range(20) for kind in scene.report(1.5)]
        self.assertEqual(
            kinds,
            [
                ReactionKind.THROTTLE,
                ReactionKind.THROTTLE,
                ReactionKind.CHECKPOINT_EVICT,
            ],
        )

    def test_an_evicted_task_moves_where_it_does_no_harm(self):
        scene = Scene()
        scene.state.add_worker(build_worker(8))
        for _ in range(10):
            scene.report(1.5)
        earmark = scene.state.earmarks["batch-0-0"]
        self.assertEqual(earmark.worker_id, "worker-8")
        task = scene.state.tasks["batch-0-0"].shape
        scene.state.confirm_stopped("batch-0-0", scene.now_ms, StopOutcome.EVICTED)
        rng = np.random.default_rng(1)
        decision = decide_placement(scene.state, task, scene.now_ms, rng, LATENCY_FIRST)
        self.assertEqual(decision.worker_id, "worker-8")

    def test_a_step_waits_for_news_of_the_last(self):
        # A batch task is thrown off a worker at the first sign of slowness. Reports
        # measured before the throttling kept arriving and were taken for its failure.
        scene = Scene()
        scene.report(1.5)
        self.assertEqual(scene.report(1.5), [ReactionKind.THROTTLE])
        self.assertEqual(scene.react(), [])
        self.assertEqual(scene.report(1.5), [])
        self.assertEqual(scene.report(1.5), [ReactionKind.THROTTLE])

    def test_throttling_is_undone_when_calm(self):
        scene = Scene()
        for _ in range(2):
            scene.report(1.5)
        kinds = [kind for _ in range(12) for kind in scene.report(1.01)]
        self.assertEqual(kinds, [ReactionKind.UNTHROTTLE])
        self.assertEqual(scene.state.tasks["batch-0-0"].speed, 1.0)

    def test_a_wave_of_noise_evicts_nothing(self):
        # Half the night's roster builds are thrown off in a minute. Noise slowed the
        # services of every worker at once, and each worker evicted on its own.
        scene = Scene()
        kinds = {kind for _ in range(40) for kind in scene.report(1.5, range(8))}
        self.assertEqual(kinds, {ReactionKind.THROTTLE})

    def test_what_is_about_to_end_is_spared(self):
        scene = Scene(batch=0)
        run_task(scene.state, build_task("short", declared_run_ms=1_000_000.0))
        scene.now_ms = 880_000.0
        kinds = {kind for _ in range(11) for kind in scene.report(1.5)}
        self.assertEqual(kinds, {ReactionKind.THROTTLE})

    def test_eviction_budgets(self):
        # One roster build never ends: it was evicted, started again and evicted again
        # all night, for it was always the loudest.
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
                self.assertEqual(self.count_evictions(Scene(policy=policy)), count)

    def count_evictions(self, scene):
        task = scene.state.tasks["batch-0-0"].shape
        evictions = 0
        for _ in range(5):
            kinds = [kind for _ in range(3) for kind in scene.report(1.5)]
            if ReactionKind.CHECKPOINT_EVICT in kinds:
                evictions += 1
                scene.state.confirm_stopped(
                    task.task_id, scene.now_ms, StopOutcome.EVICTED
                )
                run_task(scene.state, task, now_ms=scene.now_ms)
        return evictions


class QuarantineTest(unittest.TestCase):
    """Workers that fail everything, and jobs that fail everywhere."""

    def fail_task(self, scene, task_id, worker_id="worker-0"):
        run_task(scene.state, build_task(task_id), worker_id)
        scene.state.confirm_stopped(task_id, scene.now_ms, StopOutcome.FAILED)

    def test_a_worker_that_fails_all_is_closed_and_tried_again(self):
        # Manifest jobs vanish into one worker that fails everything at once and so
        # always has room. It must be closed, and not for ever.
        scene = Scene(workers=1, batch=0)
        for number in range(3):
            self.fail_task(scene, f"task-{number}")
        self.assertEqual(scene.react(), [ReactionKind.QUARANTINE])
        self.assertEqual(scene.state.table.room[0, ROOM_OPEN], 0.0)
        scene.now_ms += LATENCY_FIRST.quarantine_ms
        self.assertEqual(scene.react(), [ReactionKind.RELEASE])
        self.fail_task(scene, "probe")
        self.assertEqual(scene.react(), [ReactionKind.QUARANTINE])
        until_ms = scene.state.workers["worker-0"].health.quarantined_until_ms
        self.assertEqual(until_ms - scene.now_ms, 2.0 * LATENCY_FIRST.quarantine_ms)

    def test_a_worker_on_probation_gets_one_task_at_a_time(self):
        # A worker that fails everything takes forty jobs down in its first minute
        # back: its quarantine was over, and it had the most room of all.
        scene = Scene(workers=1, batch=0)
        for number in range(3):
            self.fail_task(scene, f"task-{number}")
        scene.react()
        scene.now_ms += LATENCY_FIRST.quarantine_ms
        scene.react()
        scene.state.confirm_stopped("service-0", scene.now_ms, StopOutcome.CANCELLED)
        self.assertEqual(scene.state.table.room[0, ROOM_OPEN], 1.0)
        run_task(scene.state, build_task("probe"))
        self.assertEqual(scene.state.table.room[0, ROOM_OPEN], 0.0)
        scene.state.confirm_stopped("probe", scene.now_ms, StopOutcome.FINISHED)
        run_task(scene.state, build_task("next"))
        self.assertEqual(scene.state.table.room[0, ROOM_OPEN], 1.0)

    def test_a_job_is_not_refused_for_its_luck_with_workers(self):
        # A sound manifest job is refused for good. It happened on three workers in
        # turn that failed everything.
        scene = Scene(workers=4, batch=0)
        for number in range(3):
            for count in range(3):
                self.fail_task(scene, f"other-{number}-{count}", f"worker-{number}")
        scene.react()
        for number in range(3):
            scene.state.history("task").failed_on.add(f"worker-{number}")
        rng = np.random.default_rng(1)
        decision = decide_placement(
            scene.state, build_task(), scene.now_ms, rng, LATENCY_FIRST
        )
        self.assertNotIsInstance(decision, Impossible)

    def test_jobs_that_fail_everywhere_close_no_worker(self):
        # A batch of broken jobs closes the whole fleet, one worker after another:
        # each failure was held against the worker that it happened on.
        scene = Scene(workers=2, batch=0)
        for number in range(6):
            self.fail_task(scene, f"broken-{number}", "worker-0")
            self.fail_task(scene, f"broken-{number}", "worker-1")
        self.assertEqual(scene.react(), [])
