"""Tests of the groups of workers."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from trefoilhook.takeover import Member, WorkerGroups, count_groups
from trefoilhook.takeover.tests.builders import build_groups, find_job

_NAMES = st.sets(st.sampled_from("abcdefgh"))


def _build_members(names: set[str]) -> list[Member]:
    return [Member(name=name, address=f"{name}:1") for name in sorted(names)]


class GroupsTest(unittest.TestCase):
    """Which workers are in the group of a job."""

    def test_workers_take_turns_in_groups(self) -> None:
        """The slot of a worker determines its group, modulo their number."""
        groups = build_groups("a", "b", "c", "d")
        self.assertEqual(groups.list_group(find_job(groups, 0)), ["a", "c"])
        self.assertEqual(groups.list_group(find_job(groups, 1)), ["b", "d"])

    def test_slots_of_any_size(self) -> None:
        """Guards against a record with a slot of 2^53 - 1 that blocks its reader."""
        members = dict(
            zip((0, 3, 2**53 - 1), _build_members({"a", "b", "c"}), strict=True)
        )
        for count in (1, 2, 3, 2**53 - 1):
            with self.subTest(count):
                groups = WorkerGroups(epoch=1, count=count, members=members)
                for number in range(20):
                    names = groups.list_group(str(number))
                    covered = [
                        name for name in "abc" if groups.covers(str(number), name)
                    ]
                    self.assertEqual(names, covered)

    def test_unknown_worker_is_in_no_group(self) -> None:
        """Guards against starts that no successor knows."""
        groups = build_groups("a", count=1)
        self.assertTrue(groups.covers("j", "a"))
        self.assertFalse(groups.covers("j", "b"))

    def test_workers_of_retained_names_keep_their_slots(self) -> None:
        """Guards against workers that change the group when others are released."""
        groups = build_groups("a", "b", "c").retain(["c", "x"])
        self.assertEqual({2: "c"}, {s: m.name for s, m in groups.members.items()})
        self.assertEqual(groups.list_names(), {"c"})
        self.assertFalse(groups.covers(find_job(groups, 1), "b"))

    def test_slot_of_removed_worker_is_reused(self) -> None:
        """Guards against groups that grow with each worker that restarts."""
        groups = build_groups("a", "b").replace_members(_build_members({"b", "c"}))
        self.assertEqual(
            {0: "c", 1: "b"}, {s: m.name for s, m in groups.members.items()}
        )

    def test_new_address_of_known_worker_is_kept(self) -> None:
        """Guards against a search for a later incarnation at an outdated address."""
        groups = build_groups("a").replace_members([Member(name="a", address="x")])
        self.assertEqual(groups.members[0].address, "x")

    @settings(deadline=None)
    @given(_NAMES, _NAMES, _NAMES, st.integers(min_value=1, max_value=4))
    def test_remaining_workers_keep_their_slots(
        self, first: set[str], second: set[str], third: set[str], count: int
    ) -> None:
        """Guards against starts in a group that their worker has left."""
        groups = WorkerGroups(epoch=3, count=count)
        for names in (first, second, third):
            before, groups = groups, groups.replace_members(_build_members(names))
            self.assertEqual(groups.list_names(), names)
            self.assertLess(max(groups.members, default=-1), 8)
            for name in names & before.list_names():
                for job_id in map(str, range(8)):
                    self.assertEqual(
                        groups.covers(job_id, name), before.covers(job_id, name)
                    )

    @settings(deadline=None)
    @given(_NAMES, st.integers(min_value=1, max_value=4), st.text())
    def test_list_and_test_of_a_group_agree(
        self, names: set[str], count: int, job_id: str
    ) -> None:
        """Guards against starts for which a successor doesn't wait."""
        groups = WorkerGroups(epoch=1, count=count).replace_members(
            _build_members(names)
        )
        covered = {name for name in names if groups.covers(job_id, name)}
        self.assertEqual(set(groups.list_group(job_id)), covered)

    def test_workers_of_a_failure_domain_share_groups(self) -> None:
        """Guards against a loss of one failure domain that delays most jobs."""
        names = [f"w{number}" for number in range(12)]
        locations = {name: (f"zone-{n % 3}", "rack") for n, name in enumerate(names)}
        groups = WorkerGroups(epoch=1, count=1).replace_members(
            _build_members(set(names))
        )
        groups = groups.rearrange(6, locations)
        self.assertEqual(groups.list_names(), set(names))
        for number in range(6):
            members = groups.list_group(find_job(groups, number))
            self.assertEqual(len(members), 2)
            self.assertEqual(len({locations[name] for name in members}), 1)

    @settings(deadline=None)
    @given(_NAMES, st.integers(min_value=1, max_value=4))
    def test_rearranged_groups_contain_the_same_workers(
        self, names: set[str], count: int
    ) -> None:
        """Guards against a worker that is missing from the groups of the next owner."""
        groups = WorkerGroups(epoch=1, count=1).replace_members(_build_members(names))
        groups = groups.rearrange(count, {})
        self.assertEqual(groups.list_names(), names)
        self.assertEqual(len(groups.members), len(names))
        sizes = [len(groups.list_group(find_job(groups, n))) for n in range(count)]
        self.assertLessEqual(max(sizes) - min(sizes), 1)

    def test_there_is_always_a_group(self) -> None:
        """Guards against a division by zero without workers."""
        self.assertEqual([count_groups(n) for n in (0, 1, 2, 5, 33)], [1, 1, 1, 2, 16])
