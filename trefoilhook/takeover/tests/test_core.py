"""Tests of the workers for which the tasks of a new owner wait."""

import unittest

import attrs

from trefoilhook.takeover import Predecessors
from trefoilhook.takeover.tests.builders import build_groups, build_place, find_job

_GROUPS = build_groups("a", "b", epoch=4)
_JOB_A = find_job(_GROUPS, 0)
_JOB_B = find_job(_GROUPS, 1)


class HoldTest(unittest.TestCase):
    """Which tasks wait, and for whom."""

    def check(
        self,
        predecessors: Predecessors,
        task: str,
        job_id: str,
        expected: list[str],
        *,
        never_ends: bool = False,
    ) -> None:
        """Compare the workers for which a task waits."""
        names = predecessors.list_awaited(task, job_id, never_ends=never_ends)
        self.assertEqual(names, expected)
        self.assertEqual(
            predecessors.holds(task, job_id, never_ends=never_ends), bool(expected)
        )

    def test_nothing_waits_without_previous_owners(self) -> None:
        """Guards against a first owner that starts nothing."""
        self.check(Predecessors(), "j.0.0", "j", [])

    def test_task_waits_for_the_group_of_its_job(self) -> None:
        """Guards against a second run of a task that was started without a place."""
        predecessors = Predecessors(groups=[_GROUPS])
        self.check(predecessors, "t.0.0", _JOB_A, ["a"])
        self.check(predecessors, "t.0.0", _JOB_B, ["b"])
        predecessors.account("a")
        self.check(predecessors, "t.0.0", _JOB_A, [])
        self.check(predecessors, "t.0.0", _JOB_B, ["b"])

    def test_task_waits_for_its_place(self) -> None:
        """Guards against a second run of a task that was started outside its group."""
        predecessors = Predecessors(
            groups=[_GROUPS], places=[build_place("t.0.0", worker="b")]
        )
        self.check(predecessors, "t.0.0", _JOB_A, ["a", "b"])
        predecessors.account("a")
        self.check(predecessors, "t.0.0", _JOB_A, ["b"])
        self.check(predecessors, "t.0.1", _JOB_A, [])
        predecessors.account("b")
        self.check(predecessors, "t.0.0", _JOB_A, [])

    def test_task_that_never_ends_waits_for_its_last_place(self) -> None:
        """Guards against a service task held for a worker that it left long ago.

        A task that ends waits for both: an earlier attempt may have completed it.
        """
        placed = attrs.evolve(_GROUPS, has_all_places=True)
        predecessors = Predecessors(
            groups=[placed],
            places=[build_place("t.0.0", 1, "a"), build_place("t.0.0", 2, "b")],
            superseded={("t.0.0", 1)},
        )
        self.check(predecessors, "t.0.0", _JOB_A, ["a", "b"])
        self.check(predecessors, "t.0.0", _JOB_A, ["b"], never_ends=True)
        predecessors.account("b")
        self.check(predecessors, "t.0.0", _JOB_A, ["a"])
        self.check(predecessors, "t.0.0", _JOB_A, [], never_ends=True)

    def test_groups_that_no_start_relied_on_hold_nothing(self) -> None:
        """Guards against tasks held for a worker on which they cannot run."""
        placed = attrs.evolve(_GROUPS, has_all_places=True)
        predecessors = Predecessors(
            groups=[placed], places=[build_place("t.0.0", worker="b")]
        )
        self.check(predecessors, "t.0.0", _JOB_A, ["b"])
        self.check(predecessors, "t.0.1", _JOB_A, [])
        self.assertEqual(predecessors.awaited, {"a", "b"})

    def test_other_epochs_may_have_relied_on_their_groups(self) -> None:
        """Guards against a record taken for that of an epoch before or after it."""
        placed = attrs.evolve(_GROUPS, has_all_places=True)
        for epoch in (3, 5):
            other = build_groups("a", epoch=epoch)
            predecessors = Predecessors(groups=[placed, other])
            self.check(predecessors, "t.0.0", _JOB_A, ["a"])

    def test_each_task_of_a_worker_waits_for_it(self) -> None:
        """Guards against a second run of all but the last task started there."""
        predecessors = Predecessors(
            groups=[_GROUPS],
            places=[build_place(task, worker="b") for task in ("t.0.0", "t.0.1")],
        )
        self.check(predecessors, "t.0.0", _JOB_A, ["a", "b"])
        predecessors.account("a")
        for task in ("t.0.0", "t.0.1"):
            self.check(predecessors, task, _JOB_A, ["b"])

    def test_task_waits_for_all_its_places(self) -> None:
        """Guards against a second run beside that of a later attempt."""
        predecessors = Predecessors(
            groups=[_GROUPS],
            places=[
                build_place("t.0.0", 1, worker="a"),
                build_place("t.0.0", 2, worker="b"),
            ],
        )
        predecessors.account("a")
        self.check(predecessors, "t.0.0", _JOB_A, ["b"])

    def test_task_waits_for_the_groups_of_each_epoch(self) -> None:
        """Guards against a second run of a task started before the last owner."""
        earlier = build_groups("c", "a", epoch=3)
        predecessors = Predecessors(groups=[_GROUPS, earlier])
        self.check(predecessors, "t.0.0", _JOB_A, ["a", "c"])
        self.check(predecessors, "t.0.0", _JOB_B, ["a", "b"])
        predecessors.account("a")
        self.check(predecessors, "t.0.0", _JOB_A, ["c"])

    def test_numbers_of_groups_differ_by_epoch(self) -> None:
        """Guards against earlier groups that are read with the present number."""
        one, two = build_groups("c", "d", epoch=3, count=1), build_groups("a", "b")
        for groups in ((one, two), (two, one)):
            predecessors = Predecessors(groups=groups)
            self.check(predecessors, "t.0.0", _JOB_A, ["a", "c", "d"])
            predecessors.account("c")
            self.check(predecessors, "t.0.0", _JOB_B, ["b", "d"])
            predecessors.account("d")
            self.check(predecessors, "t.0.0", _JOB_B, ["b"])

    def test_all_tasks_wait_for_unrecorded_starts(self) -> None:
        """Guards against a second run of a task started by an earlier build."""
        predecessors = Predecessors(
            groups=[_GROUPS], unrecorded_epoch=3, unrecorded_workers=["b", "x"]
        )
        self.check(predecessors, "t.0.0", _JOB_A, ["a", "b", "x"])
        predecessors.account("b")
        self.check(predecessors, "t.0.0", _JOB_A, ["a", "x"])
        self.check(predecessors, "t.0.0", _JOB_B, ["x"])
        predecessors.account("x")
        self.check(predecessors, "t.0.0", _JOB_B, [])
        self.check(predecessors, "t.0.0", _JOB_A, ["a"])

    def test_places_of_unknown_workers_are_ignored(self) -> None:
        """Guards against tasks that wait for a worker released by a later owner."""
        predecessors = Predecessors(
            groups=[_GROUPS], places=[build_place("t.0.0", worker="x")]
        )
        self.assertFalse(predecessors.knows("x"))
        self.assertEqual(predecessors.awaited, {"a", "b"})
        self.check(predecessors, "t.0.0", _JOB_A, ["a"])


class AccountTest(unittest.TestCase):
    """Workers that are accounted for, or whose leases have expired."""

    def setUp(self) -> None:
        self.predecessors = Predecessors(
            groups=[_GROUPS], unrecorded_epoch=2, unrecorded_workers=["x"]
        )

    def holds(self, *, never_ends: bool) -> bool:
        """Return whether a task of the first group waits."""
        return self.predecessors.holds("t.0.0", _JOB_A, never_ends=never_ends)

    def test_expiry_is_enough_for_tasks_that_never_end(self) -> None:
        """Guards against services that wait for the end that they can't have."""
        self.predecessors.expire("x")
        self.assertTrue(self.holds(never_ends=True))
        self.predecessors.expire("a")
        self.assertFalse(self.holds(never_ends=True))
        self.assertEqual(
            self.predecessors.list_awaited("t.0.0", _JOB_A, never_ends=True), []
        )

    def test_expiry_is_not_enough_for_tasks_that_end(self) -> None:
        """Guards against a second run of a task whose end the worker holds."""
        for name in ("a", "x"):
            self.predecessors.expire(name)
        self.assertTrue(self.holds(never_ends=False))
        self.assertEqual(self.predecessors.expired, {"a", "x"})

    def test_account_after_expiry(self) -> None:
        """Guards against tasks that wait for a worker that has answered since."""
        self.predecessors.expire("a")
        self.predecessors.account("a")
        self.predecessors.account("x")
        self.assertFalse(self.holds(never_ends=False))
        self.assertEqual(self.predecessors.expired, set())

    def test_expiry_after_account(self) -> None:
        """Guards against workers that are awaited again."""
        self.predecessors.account("a")
        self.predecessors.expire("a")
        self.assertEqual(self.predecessors.awaited, {"b", "x"})
        self.assertEqual(self.predecessors.expired, set())

    def test_unknown_worker(self) -> None:
        """Guards against errors by workers that are new."""
        self.predecessors.account("new")
        self.predecessors.expire("new")
        self.assertEqual(self.predecessors.awaited, {"a", "b", "x"})


class WorkersTest(unittest.TestCase):
    """What is known of a single worker."""

    def test_last_epoch_decides_when_leases_expire(self) -> None:
        """Guards against leases of a later owner that are not waited out."""
        predecessors = Predecessors(
            groups=[
                build_groups("a", epoch=3),
                _GROUPS,
                build_groups("c", "a", epoch=2),
            ],
            unrecorded_epoch=3,
            unrecorded_workers=["b", "c", "x"],
        )
        for name, expected in (("a", 4), ("b", 4), ("c", 3), ("x", 3), ("new", 8)):
            with self.subTest(name):
                self.assertEqual(predecessors.get_last_epoch(name, epoch=9), expected)

    def test_epochs_whose_leases_are_awaited(self) -> None:
        """Guards against a wait that is not handed on, and begins anew."""
        predecessors = Predecessors(
            groups=[_GROUPS, build_groups("c", "a", epoch=3)],
            unrecorded_epoch=2,
            unrecorded_workers=["c", "x"],
        )
        self.assertEqual(predecessors.list_awaited_epochs(), {2, 3, 4})
        predecessors.expire("c")
        self.assertEqual(predecessors.list_awaited_epochs(), {2, 4})
        predecessors.account("x")
        self.assertEqual(predecessors.list_awaited_epochs(), {4})
        for name in ("a", "b"):
            predecessors.expire(name)
        self.assertEqual(predecessors.list_awaited_epochs(), set())

    def test_address_of_a_worker(self) -> None:
        """Guards against incarnations that no successor can account for."""
        predecessors = Predecessors(
            groups=[_GROUPS], unrecorded_epoch=3, unrecorded_workers=["x"]
        )
        self.assertEqual(predecessors.get_address("a"), "a:1")
        self.assertEqual(predecessors.get_address("x"), "")
        self.assertEqual(predecessors.unrecorded_workers, {"x"})
