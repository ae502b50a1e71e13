"""Simulated takeovers and the recording of placements."""

import unittest

from bench.succession.built import place_in_product_group, take_over_by_product_rule
from bench.succession.strategies import STRATEGIES
from bench.succession.takeover import Silence, take_over
from bench.succession.world import build_world, list_silent
from bench.succession.writes import TARGET, measure_writes

_SIZE = 33
_CUT_OFF = Silence(ends_ms=24_000.0)


def _take_over(name, *, seed=1, case="one", silence=_CUT_OFF, unrecorded=0.05):
    strategy = STRATEGIES[name](_SIZE)
    world = build_world(
        _SIZE,
        seed,
        place=strategy.place,
        place_unrecorded=strategy.place_unrecorded,
        unrecorded=unrecorded,
    )
    silent = list_silent(world, seed, case)
    return take_over(world, strategy, silent=silent, silence=silence, seed=seed)


class TakeoverTest(unittest.TestCase):
    """Tasks held and started by each strategy."""

    def test_no_strategy_starts_a_task_that_is_on_a_silent_worker(self):
        # Guards against a strategy that runs a task twice. The worlds include
        # unrecorded starts, and jobs whose next step was begun before its inputs were
        # saved.
        for name in STRATEGIES:
            for seed in range(1, 6):
                for case in ("one", "domain"):
                    with self.subTest(strategy=name, seed=seed, case=case):
                        outcome = _take_over(name, seed=seed, case=case)
                        self.assertEqual(outcome.unsafe, 0)

    def test_starts_outside_the_record_are_found_unsafe(self):
        # Guards against an ``unsafe`` count that is always zero.
        strategy = STRATEGIES["record"](_SIZE)
        world = build_world(
            _SIZE,
            1,
            place_unrecorded=STRATEGIES["today"](_SIZE).place_unrecorded,
            unrecorded=0.2,
        )
        silent = list_silent(world, 1, "domain")
        outcome = take_over(world, strategy, silent=silent, silence=_CUT_OFF, seed=1)
        self.assertGreater(outcome.unsafe, 0)

    def test_today_every_task_waits_for_one_silent_worker(self):
        outcome = _take_over("today")
        self.assertGreater(min(outcome.due_ms), 24_000.0)

    def test_today_a_crashed_worker_is_awaited_until_leases_expire(self):
        outcome = _take_over("today", silence=Silence(unlisted_ms=4500.0))
        self.assertAlmostEqual(outcome.settled_ms, 7402.0, delta=1.0)

    def test_recorded_tasks_do_not_wait_for_a_silent_worker(self):
        outcome = _take_over("record", case="domain")
        self.assertEqual(max(outcome.due_ms), outcome.loaded_ms)

    def test_task_with_a_recorded_place_waits_for_it(self):
        # Guards against running the task twice: its owner may have died before or after
        # sending the order.
        held = [
            at_ms
            for seed in range(1, 11)
            for at_ms in _take_over("record", seed=seed, case="domain").recorded_ms
        ]
        self.assertGreater(max(held), 24_000.0)

    def test_same_seed_gives_the_same_outcome(self):
        self.assertEqual(_take_over("groups", seed=3), _take_over("groups", seed=3))


def _take_over_by_product_rule(*, seed, case, place_unrecorded=None, unrecorded=0.05):
    world = build_world(
        _SIZE,
        seed,
        place_unrecorded=place_unrecorded or place_in_product_group(_SIZE),
        unrecorded=unrecorded,
    )
    silent = list_silent(world, seed, case)
    return take_over_by_product_rule(world, silent=silent, silence=_CUT_OFF, seed=seed)


class ProductRuleTest(unittest.TestCase):
    """Tasks held and started by the rule of the product."""

    def test_no_task_is_started_that_is_on_a_silent_worker(self):
        # Guards against a rule that runs a task twice.
        for seed in range(1, 6):
            for case in ("one", "domain"):
                with self.subTest(seed=seed, case=case):
                    self.assertEqual(
                        _take_over_by_product_rule(seed=seed, case=case).unsafe, 0
                    )

    def test_starts_outside_places_and_groups_are_found_unsafe(self):
        # Guards against an ``unsafe`` count that is always zero.
        outcome = _take_over_by_product_rule(
            seed=1,
            case="domain",
            place_unrecorded=STRATEGIES["today"](_SIZE).place_unrecorded,
            unrecorded=0.2,
        )
        self.assertGreater(outcome.unsafe, 0)

    def test_most_tasks_do_not_wait_for_a_silent_failure_domain(self):
        # Guards against groups that span failure domains, so that the loss of one
        # delays most tasks. A third of the workers is silent.
        due_ms = [
            at_ms
            for seed in range(1, 6)
            for at_ms in _take_over_by_product_rule(seed=seed, case="domain").due_ms
        ]
        prompt = sum(at_ms < 300.0 for at_ms in due_ms) / len(due_ms)
        self.assertGreater(prompt, 0.6)


class RecordTest(unittest.TestCase):
    """Size of the record and its writes."""

    def test_record_is_bounded_by_the_tasks_that_run(self):
        # Guards against pages that are kept for a single long-running task.
        cost = measure_writes(TARGET, 1, spread=False)
        self.assertLess(cost.pages, cost.rows / 4)
        self.assertLess(cost.stored, 150 * cost.rows)

    def test_overlapping_writes_delay_each_start_by_one_write(self):
        cost = measure_writes(TARGET, 1, spread=True, overlapping=True)
        self.assertLessEqual(cost.delay_ms, 4.0)
