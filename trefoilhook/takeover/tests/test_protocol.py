"""Search of the short histories of owners, workers and a store at takeovers.

Deeper searches are run by hand; `trefoilhook.takeover.tests.checker` says how.
"""

import unittest
from collections.abc import Mapping

from trefoilhook.takeover.tests.checker import build_settings, explore, render
from trefoilhook.takeover.tests.world import TASKS, FaultError, World

_Changes = Mapping[str, int]

_ONE: _Changes = {"owners": 2, "second": 0}
_SERVICE: _Changes = {"second": 0, "never_ends": 1}

_RESTART: _Changes = {**_ONE, "births": 1, "same_id": 1}

GUARDS: Mapping[str, tuple[str, _Changes]] = {
    "R1 rows": ("a place is written before its start", _ONE),
    "R1 groups": ("groups count once they are confirmed", {**_ONE, "births": 1}),
    "R2 saved": ("a place stays until the end is saved", {"owners": 2}),
    "R2 over": ("a place stays while its attempt may run", {"owners": 2}),
    "R3 key": (
        "a write expects the key of its owner",
        {**_ONE, "never_ends": 1, "late_writes": 1},
    ),
    "R4 claim": ("records are read after the claim", _ONE),
    "R4 pages": ("records are read to the last page", _ONE),
    "R5 ends": ("a worker accounted for has told its ends", _ONE),
    "R5 listed": ("a listed worker may hold an end", _ONE),
    "R6": ("adopted runs are recorded before their worker is released", _SERVICE),
    "unsaved ends": ("ends are saved before their worker is released", {"second": 0}),
    "late ends": ("so are ends heard after it was accounted for", {"second": 0}),
    "R7 since": ("owners of an earlier build record nothing", {**_ONE, "old": 1}),
    "R7 head": ("which is handed on", {**_SERVICE, "old": 1}),
    "unrecorded released": (
        "until their workers are released",
        {**_SERVICE, "old": 1, "groups": 1},
    ),
    "R8 token": ("a worker refuses earlier owners", _ONE),
    "R8 deadline": ("a worker refuses late orders", {**_ONE, "never_ends": 1}),
    "renewals": ("no long leases before a worker is in the own head", _SERVICE),
    "own leases": (
        "an owner waits for the leases that it gave, too",
        {**_SERVICE, "lost_answers": 1},
    ),
    "lease limits": (
        "no lease while the store may tell the next owner when they expire",
        {**_SERVICE, "limits": 1},
    ),
    "sent head": (
        "no start on a worker that a head without an answer leaves out",
        {
            **_ONE,
            "never_ends": 1,
            "groups": 1,
            "starts": 1,
            "unlistings": 1,
            "late_writes": 1,
        },
    ),
    "restart held": ("a start without an answer outlives a restart", _RESTART),
    "restart place": (
        "and its place outlives the incarnation that it names",
        {**_RESTART, "never_ends": 1},
    ),
    "restart listed": (
        "a listed worker may hold an end of a start for its earlier incarnation",
        {**_RESTART, "starts": 1},
    ),
    "restart fresh": (
        "a restart frees tasks of an owner that still has its key",
        _RESTART,
    ),
    "left": ("a worker that left runs nothing", {**_ONE, "leaves": 1}),
    "all placed": ("no start has only its group", {**_ONE, "resigns": 1}),
    "all placed ends": (
        "nor has one that ended, until its end is saved",
        {**_ONE, "resigns": 1},
    ),
    "all placed last": (
        "nothing is sent once all starts are recorded to have places",
        {**_ONE, "resigns": 1},
    ),
    "all placed by epoch": (
        "an owner records it of its own starts alone",
        {**_SERVICE, "resigns": 1},
    ),
}
"""What each guard asks, and a world in which a fault shows without it."""

_MAX_DEPTH = 10
"""Number of moves after which a search without a guard is given up."""

PROMISES: Mapping[str, tuple[_Changes, int]] = {
    "two owners": (_ONE, 100),
    "services": ({**_ONE, "never_ends": 1}, 100),
    "after an earlier build": ({**_ONE, "old": 1}, 100),
    "failed ends": ({**_ONE, "fails": 1}, 100),
    "restarts": ({**_RESTART, "never_ends": 1}, 7),
    "three owners": ({"second": 0}, 6),
    "silent workers": ({**_ONE, "never_ends": 1, "limits": 1}, 8),
    "silent workers, three owners": ({**_SERVICE, "limits": 1}, 6),
    "planned leaves": ({**_ONE, "leaves": 1}, 100),
    "planned takeovers": ({**_ONE, "never_ends": 1, "resigns": 1}, 100),
    "planned takeovers, three owners": ({**_SERVICE, "resigns": 1}, 6),
    "all faults, two steps": (
        {
            "owners": 2,
            "fails": 1,
            "births": 1,
            "unlistings": 1,
            "lost_answers": 1,
            "late_writes": 1,
        },
        4,
    ),
}
"""Worlds with all guards, and the number of moves up to which they are explored."""


class ProtocolTest(unittest.TestCase):
    """What the protocol promises, and which guards it takes."""

    def test_each_guard_is_needed(self) -> None:
        """A history with a fault is found for each guard that is taken out."""
        for guard, (meaning, changes) in GUARDS.items():
            with self.subTest(guard, meaning=meaning):
                settings = build_settings(changes, without=[guard])
                result = explore(settings, max_depth=_MAX_DEPTH)
                self.assertTrue(
                    result.story, f"no fault in {result.states} states without it"
                )

    def test_no_short_history_breaks_a_promise(self) -> None:
        """Nothing runs twice or again after its end, and nothing waits in vain."""
        for name, (changes, max_depth) in PROMISES.items():
            with self.subTest(name):
                result = explore(build_settings(changes), max_depth=max_depth)
                self.assertFalse(result.story, f"\n{render(result)}")

    def test_unknown_guard_is_refused(self) -> None:
        """Guards against a search that takes nothing out and proves nothing."""
        with self.assertRaises(ValueError):
            build_settings({}, without=["no such guard"])


class JudgeTest(unittest.TestCase):
    """Which starts the world takes for a fault."""

    def setUp(self) -> None:
        self.world = World(build_settings({}))
        self.run_key = (TASKS[0], 9)

    def assert_fault(self, pattern: str) -> None:
        """Start the first task on the first worker, and expect a fault."""
        with self.assertRaisesRegex(FaultError, pattern):
            self.world.clone().start(1, TASKS[0], "w0@0")

    def test_start_beside_a_run(self) -> None:
        """Guards against a judge that lets a task run twice."""
        self.world.change_worker(1).runs[self.run_key] = 1
        self.assert_fault("may run twice")

    def test_start_beside_an_order(self) -> None:
        """Guards against a judge that forgets orders on their way."""
        self.world.change_worker(1).orders[self.run_key] = 1
        self.assert_fault("may run twice")

    def test_start_beside_an_end(self) -> None:
        """Guards against a judge that lets a done task run again."""
        self.world.change_worker(1).ends[self.run_key] = True
        self.assert_fault("has its end as done")

    def test_start_after_the_end_is_saved(self) -> None:
        """Guards against a judge that forgets ends acknowledged."""
        self.world.change_worker(1).ends[self.run_key] = True
        self.world.poll(1, 1, {})
        self.world.save(1)
        self.world.poll(1, 1, {})
        self.assertEqual(self.world.workers[1].ends, {})
        self.assert_fault("is saved as done")

    def test_start_after_the_end_was_given_up(self) -> None:
        """Guards against a fault found where the worker was given up."""
        self.world.change_worker(1).ends[self.run_key] = True
        self.world.give_up(1, "w1@0")
        self.world.clone().start(1, TASKS[0], "w0@0")
        self.world.poll(1, 1, {})
        self.world.save(1)
        self.world.clone().start(1, TASKS[0], "w0@0")

    def test_start_after_another_end(self) -> None:
        """Guards against a judge that excuses all ends for one that was given up."""
        self.world.change_worker(1).ends[self.run_key] = True
        self.world.give_up(1, "w1@0")
        self.world.poll(1, 1, {})
        self.world.change_worker(0).ends[TASKS[0], 10] = True
        self.world.poll(1, 0, {})
        self.world.save(1)
        self.world.poll(1, 0, {})
        self.assert_fault("is saved as done")
