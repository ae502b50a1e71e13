"""Tests of the report on interruptions, on constructed logs."""

import json
import unittest

from trefoilhook.interruptions import (
    Interruption,
    InterruptionReport,
    build_interruption_report,
    render_text,
)
from trefoilhook.story import read_lines

BEGAN_S = 1_750_000_000.0
TASK = "j.0.0.1"


def line(at_s: float, event: str, instance: str = "a", **fields) -> str:
    """Return a log line."""
    value = {"t": BEGAN_S + at_s, "instance": instance, "event_name": event}
    return json.dumps({**value, **fields})


def claim(at_s: float, epoch: int, instance: str = "a") -> str:
    """Return the line about a claim."""
    return line(at_s, "SHARD_CLAIMED", instance, epoch=epoch)


def start(at_s: float, attempt: int, worker: str, **fields) -> str:
    """Return the line about a start of the task."""
    values = {"task": TASK, "attempt": attempt, "worker": worker, **fields}
    return line(at_s, "TASK_STARTED", **values)


def end(at_s: float, attempt: int = 1, how: str = "failed", **fields) -> str:
    """Return the line about an end of the task."""
    return line(
        at_s, "TASK_ENDED", task=TASK, attempt=attempt, worker="w1", how=how, **fields
    )


def wait(
    at_s: float, waited_s: float, reason: str, *, epoch: int = 1, awaits=()
) -> str:
    """Return the line about a wait of the task."""
    return line(
        at_s,
        "TASK_WAITS",
        epoch=epoch,
        task=TASK,
        long_running=True,
        waited_ms=round(waited_s * 1000.0),
        waits_for=reason,
        awaits=list(awaits),
    )


def lose(at_s: float, why: str, silent_s: float = 0.0, worker: str = "w1") -> str:
    """Return the line about a lost worker."""
    silent_ms = round(silent_s * 1000.0)
    return line(at_s, "WORKER_LOST", worker=worker, why=why, silent_ms=silent_ms)


def build(*lines: str, min_s: float = 0.0) -> InterruptionReport:
    """Build the report from some lines."""
    return build_interruption_report(read_lines(lines), min_s=min_s)


SERVICE = line(0.5, "SERVICE_SHORT", job="j")
FIRST_RUN = (claim(0.0, 1), SERVICE, start(1.0, 1, "w1"))


class InterruptionReportTest(unittest.TestCase):
    """What is told of one interruption."""

    def build_one(self, *lines: str) -> Interruption:
        """Return the only interruption after the first run."""
        report = build(*FIRST_RUN, *lines)
        self.assertEqual(len(report.interruptions), 1)
        return report.interruptions[0]

    def assert_end(self, found: Interruption, evidence: str, at_s: float) -> None:
        """Check the end of the run before."""
        self.assertEqual(found.end.evidence, evidence)
        self.assertAlmostEqual(found.end.at_s - BEGAN_S, at_s, places=3)

    def assert_waits(self, found: Interruption, *expected: list[tuple]) -> None:
        """Check reasons, awaited workers and durations by owner."""
        waits = [
            [
                (each.waits_for, each.awaits, round(each.duration_s, 3))
                for each in owner.waits
            ]
            for owner in found.owners
        ]
        self.assertEqual(waits, list(expected))

    def test_one_owner(self):
        found = self.build_one(
            end(10.0),
            wait(11.5, 1.4, "no room"),
            wait(12.5, 2.4, "no room"),
            wait(13.5, 3.4, "reserved"),
            start(14.0, 2, "w2"),
        )
        self.assert_end(found, "TASK_ENDED how=failed", 10.0)
        self.assertEqual((found.last_attempt, found.last_worker), (1, "w1"))
        self.assertEqual((found.next_attempt, found.next_worker), (2, "w2"))
        self.assertAlmostEqual(found.duration_s, 4.0, places=3)
        self.assert_waits(found, [("no room", (), 2.4), ("reserved", (), 1.5)])
        self.assertEqual(found.main_reason, "no room")

    def test_duration_counts_from_the_last_run_over_three_owners(self):
        # Guards against a wait of 12 s that each owner tells as 3 s from its claim.
        found = self.build_one(
            end(10.0),
            wait(12.0, 2.0, "owner new", awaits=["w8"]),
            line(13.0, "SHARD_RELEASED", epoch=1),
            line(13.5, "STOPPED"),
            claim(14.0, 2, "b"),
            wait(15.0, 5.0, "no worker", epoch=1),
            wait(16.0, 2.0, "owner new", epoch=2, awaits=["w9"]),
            line(18.0, "REQUEST_HANDLED", "b"),
            line(19.0, "STARTED", "b"),
            claim(20.0, 3, "a"),
            start(22.0, 3, "w2", waited_ms=1500, waited_for="room in pieces"),
        )
        self.assertAlmostEqual(found.duration_s, 12.0, places=3)
        self.assertEqual(
            [(each.epoch, each.instance) for each in found.owners],
            [(1, "a"), (2, "b"), (3, "a")],
        )
        self.assert_waits(
            found,
            [("owner new", ("w8",), 3.0)],
            [("owner new", ("w9",), 4.0)],
            [("room in pieces", (), 1.5)],
        )
        self.assertAlmostEqual(found.ownerless_s, 3.0, places=3)
        self.assertEqual(found.main_reason, "owner new")

    def test_killed_owner_ends_with_its_last_line(self):
        found = self.build_one(
            end(10.0),
            line(11.0, "REQUEST_HANDLED"),
            claim(14.0, 2, "b"),
            start(14.5, 2, "w2"),
        )
        self.assertAlmostEqual(found.ownerless_s, 3.0, places=3)
        self.assertEqual(found.main_reason, "no owner")

    def test_task_lost_with_its_worker(self):
        found = self.build_one(
            lose(10.0, "connection lost", 0.7),
            line(
                12.0, "TASK_GIVEN_UP", task=TASK, attempt=1, why="left", silent_ms=2700
            ),
            start(14.0, 2, "w2"),
        )
        self.assert_end(found, "WORKER_LOST why=connection lost", 10.0)

    def test_worker_that_is_back_after_the_next_start(self):
        back = line(16.0, "WORKER_BACK", worker="w1")
        found = self.build_one(lose(10.0, "no answer"), start(14.0, 2, "w2"), back)
        self.assert_end(found, "WORKER_LOST why=no answer", 10.0)

    def test_task_of_a_silent_worker_counts_from_its_last_answer(self):
        given_up = line(
            12.0,
            "TASK_GIVEN_UP",
            task=TASK,
            attempt=1,
            why="not listed",
            silent_ms=3000,
        )
        for proof, evidence in (
            (lose(10.0, "no answer", 1.0), "WORKER_LOST why=no answer"),
            (given_up, "TASK_GIVEN_UP why=not listed"),
        ):
            with self.subTest(evidence):
                found = self.build_one(proof, start(14.0, 2, "w2"))
                self.assert_end(found, evidence, 9.0)

    def test_worker_that_is_back_has_not_ended_the_run(self):
        # Guards against an interruption by each short loss of a connection.
        for answer in (line(11.0, "WORKER_BACK", worker="w1"), end(11.0)):
            with self.subTest(answer):
                found = self.build_one(
                    lose(10.0, "no answer", 1.0), answer, end(20.0), start(21.0, 2, "w")
                )
                self.assertEqual(found.end.evidence, "TASK_ENDED how=failed")

    def test_expired_leases_end_the_run_though_the_worker_is_back(self):
        found = self.build_one(
            lose(12.0, "leases lapsed", 5.0),
            line(13.0, "WORKER_BACK", worker="w1"),
            start(14.0, 2, "w2"),
        )
        self.assert_end(found, "WORKER_LOST why=leases lapsed", 7.0)

    def test_departure_ends_the_run_though_a_late_line_names_the_worker(self):
        found = self.build_one(
            lose(12.0, "left"),
            line(13.0, "WORKER_BACK", worker="w1"),
            start(14.0, 2, "w2"),
        )
        self.assertEqual(found.end.evidence, "WORKER_LOST why=left")

    def test_unknown_end_is_counted_from_the_known_wait(self):
        found = self.build_one(start(14.0, 2, "w2", waited_ms=3000, waited_for="x"))
        self.assert_end(found, "unknown", 11.0)

    def test_task_that_still_waits(self):
        found = self.build_one(end(10.0), wait(12.0, 2.0, "no worker"))
        self.assertEqual((found.outcome, found.next_attempt), ("still waiting", None))
        self.assertAlmostEqual(found.duration_s, 2.0, places=3)

    def test_wait_ends_with_the_job(self):
        cancelled = line(13.0, "JOB_CANCELLED", job="j")
        found = self.build_one(end(10.0), cancelled, line(20.0, "STARTED", "z"))
        self.assertEqual(found.outcome, "job ended")
        self.assertAlmostEqual(found.duration_s, 3.0, places=3)

    def test_owner_without_a_logged_claim(self):
        report = build(
            start(1.0, 1, "w1"),
            end(2.0),
            wait(4.0, 2.0, "no room", epoch=7),
            start(9.0, 2, "w2"),
        )
        (owner,) = report.interruptions[0].owners
        self.assertEqual(owner.epoch, 7)
        self.assertEqual(report.interruptions[0].ownerless_s, 0.0)


class FirstStartTest(unittest.TestCase):
    """Waits of tasks for their first run."""

    def build_first_starts(self, *lines: str, **fields) -> dict[str, Interruption]:
        """Return the waits for a first run, by task."""
        accepted = line(10.0, "JOB_ACCEPTED", job="j", **fields)
        report = build(claim(0.0, 1), accepted, *lines)
        self.assertEqual((report.interruptions, report.over["9"]), ((), 0))
        return {each.task: each for each in report.first_starts}

    def test_task_that_never_ran(self):
        # Guards against reports that omit tasks without any run.
        waits = self.build_first_starts(
            wait(12.0, 2.0, "no room"),
            line(13.0, "SHARD_RELEASED", epoch=1),
            claim(14.0, 2, "b"),
            wait(16.0, 2.0, "kept for urgent", epoch=2),
            line(25.0, "REQUEST_HANDLED", "b"),
            services={"0": 2, "1": "two"},
        )
        self.assertEqual(set(waits), {"j.0.0.0", TASK})
        for found in waits.values():
            self.assertEqual((found.outcome, found.last_attempt), ("still waiting", 0))
            self.assertAlmostEqual(found.duration_s, 15.0, places=3)
            self.assertAlmostEqual(found.ownerless_s, 1.0, places=3)
            self.assertEqual(found.main_reason, "kept for urgent")

    def test_task_found_by_its_start(self):
        later = line(10.5, "JOB_ACCEPTED", job="j", known=True)
        reasons = {"reserved": 1500, "no room": 1200, "owner new": 400}
        (found,) = self.build_first_starts(
            SERVICE,
            later,
            start(
                13.0, 1, "w", waited_ms=2800, waited_for="reserved", reasons_ms=reasons
            ),
        ).values()
        self.assertEqual((found.outcome, found.next_worker), ("started", "w"))
        self.assertAlmostEqual(found.duration_s, 3.0, places=3)
        self.assertEqual(
            [
                (each.waits_for, round(each.duration_s, 3), each.is_mixed)
                for each in found.owners[0].waits
            ],
            [
                ("reserved", 1.5, False),
                ("no room", 1.2, False),
                ("owner new", 0.1, False),
            ],
        )

    def test_unknown_acceptance_and_batch_tasks(self):
        self.assertEqual(build(*FIRST_RUN).first_starts, ())
        self.assertEqual(self.build_first_starts(start(13.0, 1, "w")), {})

    def test_text(self):
        report = build(
            claim(0.0, 1),
            line(10.0, "JOB_ACCEPTED", job="j", services={"0": 1}),
            wait(12.0, 2.0, "no room").replace(TASK, "j.0.0.0"),
        )
        self.assertEqual(
            render_text(report).splitlines()[1:],
            [
                "1 waits for a first run, longest 2.00 s",
                "",
                "j.0.0.0  2.00 s since its acceptance, mainly no room",
                "  no run before, accepted 2025-06-15 15:06:50.000",
                "  epoch 1 on a, claimed 10.00 s before the acceptance: 2.00 s; "
                "no room 2.00 s",
                "  next run: still waiting at 2025-06-15 15:06:52.000",
            ],
        )


class SelectionTest(unittest.TestCase):
    """Which interruptions are reported, and their summary."""

    def test_run_that_is_not_to_be_repeated(self):
        # Guards against cancelled and completed tasks reported as waiting.
        stopped = line(9.0, "TASK_STOPPED", task=TASK, attempt=1, why="not wanted")
        for lines in ([stopped, end(10.0, how="stopped")], [end(10.0, how="done")]):
            with self.subTest(lines):
                later = line(20.0, "REQUEST_HANDLED")
                report = build(*FIRST_RUN, wait(0.9, 1.0, "no room"), *lines, later)
                self.assertEqual(report.interruptions, ())

    def test_batch_tasks_are_left_out(self):
        batch = wait(12.0, 2.0, "no room").replace("true", "false")
        restart = [end(10.0), start(13.0, 2, "w2")]
        self.assertEqual(build(*FIRST_RUN, batch, *restart).interruptions, ())
        self.assertEqual(build(start(1.0, 1, "w1"), *restart).interruptions, ())

    def test_service_is_known_by_its_restart(self):
        waits = line(12.0, "QUEUE_WAITS", restart_task=TASK)
        report = build(start(1.0, 1, "w1"), end(10.0), waits, start(13.0, 2, "w2"))
        self.assertEqual(len(report.interruptions), 1)

    def test_other_lines_and_damaged_fields_are_skipped(self):
        report = build(
            "no json",
            '{"t": 1',
            line(0.1, "SHARD_CLAIMED", epoch="one"),
            line(0.2, "TASK_STARTED", task=TASK, attempt="first"),
            line(0.3, "REQUEST_HANDLED", status=200),
            *FIRST_RUN,
            end(10.0),
            wait(12.0, 2.0, "no room").replace("[]", "7").replace("2000", '"2"'),
            start(13.0, 2, "w2"),
        )
        (found,) = report.interruptions
        self.assertAlmostEqual(found.duration_s, 3.0, places=3)

    def test_summary_and_order(self):
        lines = [
            *FIRST_RUN,
            end(10.0),
            start(15.0, 2, "w1"),
            end(20.0, 2),
            start(30.0, 3, "w1"),
            end(31.0, 3),
            start(31.5, 4, "w1"),
        ]
        report = build(*lines, min_s=1.0)
        durations = [round(each.duration_s, 3) for each in report.interruptions]
        self.assertEqual(durations, [10.0, 5.0])
        self.assertEqual(report.over, {"4": 2, "6": 1, "9": 1})
        self.assertEqual(report.reasons, {"not logged": 2})

    def test_text(self):
        report = build(
            *FIRST_RUN,
            end(10.0),
            wait(12.0, 2.0, "owner new", awaits=["w8"]),
            line(12.0, "LEASE_LOST", epoch=1),
            claim(13.5, 2, "b"),
            start(15.0, 2, "w2", waited_ms=1000, waited_for="no room"),
        )
        self.assertEqual(
            render_text(report).splitlines(),
            [
                "1 interruptions of service tasks, longest 5.00 s; 1 over 4 s, "
                "0 over 6 s, 0 over 9 s",
                "main reasons: owner new 1",
                "",
                "j.0.0.1  5.00 s since its last run, mainly owner new",
                "  last run: attempt 1 on w1, ended 2025-06-15 15:06:50.000 "
                "(TASK_ENDED how=failed)",
                "  epoch 1 on a, claimed 10.00 s before the end: 2.00 s; "
                "owner new (w8) 2.00 s",
                "  epoch 2 on b, claimed 3.50 s after the end: 1.50 s; "
                "mainly no room 1.00 s, not logged 0.50 s",
                "  no owner: 1.50 s",
                "  next run: attempt 2 on w2, started 2025-06-15 15:06:55.000",
            ],
        )


if __name__ == "__main__":
    unittest.main()
