"""The account tells each cause, once, and adds up to what callers saw."""

import json
import tempfile
import unittest
from collections import Counter
from pathlib import Path

from cleo.testers.command_tester import CommandTester

from trefoilhook.account import Account, Cause, build_account
from trefoilhook.account.page import render_html, render_text
from trefoilhook.command import USAGE_EXIT
from trefoilhook.command.account import AccountCommand
from trefoilhook.story import read_lines

BEGAN_S = 1_750_000_000.0
OBJECTIVE_MS = 1000


def line(at_s: float, event: str, instance: str = "a", **fields) -> str:
    """Return a line of a log."""
    value = {"t": BEGAN_S + at_s, "instance": instance, "event_name": event}
    return json.dumps({**value, **fields})


def accept(job: str, at_s: float = 0.0, queue: str = "q") -> str:
    """Return the line on a job that is accepted."""
    return line(at_s, "JOB_ACCEPTED", job=job, queue=queue, objective_ms=OBJECTIVE_MS)


def finish(job: str, at_s: float, *, phase: str = "completed", queue: str = "q") -> str:
    """Return the line on a job that was accepted at 0 s and ends."""
    late_ms = at_s * 1000.0 - OBJECTIVE_MS
    return line(
        at_s,
        "JOB_FINISHED",
        job=job,
        queue=queue,
        phase=phase,
        objective_ms=OBJECTIVE_MS,
        late_ms=late_ms,
    )


def start(job: str, at_s: float, *, step: int = 0, attempt: int = 1, **fields) -> str:
    """Return the line on the start of a job's task."""
    task = f"{job}.0.{step}.0"
    return line(at_s, "TASK_STARTED", task=task, attempt=attempt, **fields)


def end(
    job: str,
    at_s: float,
    *,
    step: int = 0,
    attempt: int = 1,
    how: str = "done",
    **fields,
) -> str:
    """Return the line on the end of a job's task."""
    task = f"{job}.0.{step}.0"
    return line(at_s, "TASK_ENDED", task=task, attempt=attempt, how=how, **fields)


def build(*lines: str) -> Account:
    """Build the account of some lines."""
    unread: Counter[str] = Counter()
    known = list(read_lines(lines, unread=unread))
    return build_account(known, bin_s=10.0, unread=unread)


def play_job(cause: Cause) -> list[str]:
    """Return the lines on a job that a cause makes late, and that is named by it."""
    job = cause.name.lower().replace("_", "")
    waits = {
        Cause.NO_WORKER: "no worker",
        Cause.EVACUATED: "evacuated",
        Cause.NO_ROOM: "no room",
        Cause.IN_PIECES: "room in pieces",
        Cause.NOT_BORNE: "not borne",
        Cause.BEHIND: "behind others",
        Cause.APART: "kept apart",
        Cause.LIST_STALE: "list stale",
        Cause.OWNER_AWAY: "owner new",
    }
    if cause in waits:
        waited = {"waited_ms": 4000, "waited_for": waits[cause]}
        return [
            accept(job),
            start(job, 4.1, **waited),
            end(job, 4.9, estimate_ms=800),
            finish(job, 5.0),
        ]
    if cause is Cause.REFUSED:
        return [line(0.0, "REQUEST_REFUSED", job=job, queue="q", why="store away")]
    if cause in (Cause.FAILED, Cause.CRASH_LOOP):
        told = [accept(job), start(job, 0.1), end(job, 0.5, how="failed")]
        if cause is Cause.CRASH_LOOP:
            told.append(line(0.9, "CRASH_LOOP_FOUND", job=job, task=f"{job}.0.0.0"))
        return [*told, finish(job, 1.0, phase="failed")]
    if cause is Cause.RESTARTED:
        lost = line(
            3.0, "TASK_GIVEN_UP", task=f"{job}.0.0.0", attempt=1, why="restarted"
        )
        return [
            accept(job),
            start(job, 0.1),
            lost,
            start(job, 3.1, attempt=2),
            end(job, 3.9, attempt=2, estimate_ms=800),
            finish(job, 4.0),
        ]
    run = {
        Cause.SLOWED: {"estimate_ms": 800, "slowing_ms": 3000},
        Cause.LONGER: {"estimate_ms": 800},
        Cause.OWNER: {"estimate_ms": 800},
    }[cause]
    starts_s = 3.1 if cause is Cause.OWNER else 0.1
    return [
        accept(job),
        start(job, starts_s),
        end(job, 3.9, **run),
        finish(job, 4.0),
    ]


JOB_CAUSES = (
    Cause.REFUSED,
    Cause.CRASH_LOOP,
    Cause.FAILED,
    Cause.OWNER_AWAY,
    Cause.OWNER,
    Cause.NO_WORKER,
    Cause.EVACUATED,
    Cause.NO_ROOM,
    Cause.IN_PIECES,
    Cause.NOT_BORNE,
    Cause.BEHIND,
    Cause.APART,
    Cause.LIST_STALE,
    Cause.RESTARTED,
    Cause.SLOWED,
    Cause.LONGER,
)


class JobTest(unittest.TestCase):
    """Jobs with an objective."""

    def test_each_cause_is_told(self):
        for cause in JOB_CAUSES:
            with self.subTest(cause):
                (loss,) = build(*play_job(cause)).losses
                self.assertIs(loss.cause, cause)

    def test_day_adds_up_to_what_callers_saw(self):
        # Guards against losses that are counted twice, or not at all.
        lines = [text for cause in JOB_CAUSES for text in play_job(cause)]
        lines += [accept("good"), start("good", 0.1), end("good", 0.8)]
        lines += [finish("good", 0.9), accept("cancelled")]
        lines += [line(1.0, "JOB_CANCELLED", job="cancelled")]
        account = build(*lines)
        (queue,) = account.queues
        self.assertEqual(queue.judged, len(JOB_CAUSES) + 1)
        self.assertEqual(queue.good, 1)
        self.assertEqual(queue.lost, dict.fromkeys(JOB_CAUSES, 1))
        self.assertEqual(sum(queue.late_ms.values()), sum(_list_late(account)))

    def test_parts_of_a_job_add_up_to_its_whole_time(self):
        for cause in JOB_CAUSES:
            (loss,) = build(*play_job(cause)).losses
            if loss.late_ms:
                with self.subTest(cause):
                    spent_ms = sum(loss.spent_ms.values())
                    self.assertAlmostEqual(
                        spent_ms, loss.late_ms + OBJECTIVE_MS, delta=1.0
                    )

    def test_critical_path_goes_over_steps(self):
        # The second step waits for room while the first one's other tasks are done.
        job = "steps"
        (loss,) = build(
            accept(job),
            start(job, 0.1),
            end(job, 0.9, estimate_ms=800),
            start(job, 3.0, step=1, waited_ms=2000, waited_for="no room"),
            end(job, 3.8, step=1, estimate_ms=800),
            finish(job, 3.9),
        ).losses
        self.assertAlmostEqual(loss.spent_ms[Cause.NO_ROOM], 2000.0, delta=1.0)
        self.assertAlmostEqual(loss.spent_ms[Cause.WORK], 1600.0, delta=1.0)
        self.assertAlmostEqual(loss.spent_ms[Cause.OWNER], 300.0, delta=1.0)

    def test_time_without_an_owner_is_told_apart(self):
        job = "away"
        (loss,) = build(
            line(-5.0, "SHARD_CLAIMED", instance="a"),
            line(-4.0, "SHARD_SETTLED", instance="a"),
            accept(job),
            start(job, 0.1, instance="a"),
            line(3.0, "SHARD_CLAIMED", instance="b"),
            line(3.5, "SHARD_SETTLED", instance="b"),
            end(job, 3.6, instance="b", estimate_ms=700),
            start(job, 3.7, step=1, instance="b"),
            end(job, 4.4, step=1, instance="b", estimate_ms=700),
            finish(job, 4.5),
        ).losses
        # The run goes on meanwhile: what it took longer is all that can be told.
        self.assertIs(loss.cause, Cause.LONGER)
        job = "waits"
        (loss,) = build(
            line(-5.0, "SHARD_CLAIMED", instance="a"),
            line(-4.0, "SHARD_SETTLED", instance="a"),
            accept(job),
            line(3.0, "SHARD_CLAIMED", instance="b"),
            line(3.5, "SHARD_SETTLED", instance="b"),
            start(job, 3.6, instance="b"),
            end(job, 4.4, instance="b", estimate_ms=800),
            finish(job, 4.5),
        ).losses
        self.assertIs(loss.cause, Cause.OWNER_AWAY)

    def test_overdue_job_that_waits(self):
        account = build(
            accept("waits"),
            line(4.0, "QUEUE_WAITS", queue="q", oldest_waits_for="room in pieces"),
            line(6.0, "QUEUE_WAITS", queue="q", oldest_waits_for="room in pieces"),
        )
        (loss,) = account.losses
        self.assertIs(loss.cause, Cause.IN_PIECES)
        self.assertAlmostEqual(loss.late_ms, 5000.0, delta=1.0)

    def test_overdue_job_that_runs(self):
        (loss,) = build(accept("runs"), start("runs", 0.1), line(6.0, "STARTED")).losses
        self.assertIs(loss.cause, Cause.RUNNING)

    def test_finished_gang_is_not_open(self):
        # Of a gang one member ends as done; the others end as that one did.
        job = "gang"
        member = f"{job}.0.0.1"
        (loss,) = build(
            accept(job),
            start(job, 2.1, waited_ms=2000, waited_for="no room"),
            line(2.1, "TASK_STARTED", task=member, attempt=1),
            end(job, 2.9, estimate_ms=800),
            line(2.9, "TASK_ENDED", task=member, attempt=1, how="peer ended"),
            finish(job, 3.0),
        ).losses
        self.assertIs(loss.cause, Cause.NO_ROOM)

    def test_moments(self):
        first = play_job(Cause.NO_ROOM)
        account = build(*first, accept("late", at_s=25.0), line(60.0, "STARTED"))
        self.assertEqual([moment.at_s for moment in account.moments], [0.0, 20.0])


def _list_late(account: Account) -> list[float]:
    return [loss.late_ms for loss in account.losses]


class ServiceTest(unittest.TestCase):
    """Jobs of long-running tasks."""

    def play(self, **fields) -> Account:
        """Build the account of one line on what a service lacked."""
        told = {"tasks": 6, "away": 0.0, "over": 0.0, "beside": 0.0, **fields}
        return build(line(2.0, "SERVICE_SHORT", job="s", queue="watch", **told))

    def test_each_cause_is_told(self):
        table = (
            ({"away": 1.0, "waited_for": "room in pieces"}, Cause.IN_PIECES),
            ({"away": 1.0, "waited_for": "owner new"}, Cause.OWNER_AWAY),
            ({"away": 1.0, "waited_for": ""}, Cause.STARTING),
            ({"over": 1.0, "beside": 1.0}, Cause.TAIL_BESIDE),
            ({"over": 1.0}, Cause.OWN_LOAD),
        )
        for fields, cause in table:
            with self.subTest(cause):
                (service,) = self.play(**fields).services
                self.assertEqual(service.task_s, {cause: 2.0})

    def test_causes_add_up(self):
        account = self.play(away=1.5, over=2.0, beside=0.5, waited_for="no room")
        (service,) = account.services
        self.assertEqual((service.jobs, service.periods), (1, 1))
        self.assertEqual(sum(service.task_s.values()), 2.0 * (1.5 + 2.0))

    def test_line_with_other_figures_is_passed_over(self):
        self.assertEqual(self.play(away="many").services, ())


class CommandTest(unittest.TestCase):
    """The command as operators call it."""

    def run_on(self, lines: list[str], arguments: str) -> tuple[int, str]:
        """Run the command on a log file, and return its code and what it printed."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "log"
            path.write_text("\n".join(lines), encoding="utf-8")
            tester = CommandTester(AccountCommand())
            code = tester.execute(f"--log {path} {arguments}")
            return code, tester.io.fetch_output() + tester.io.fetch_error()

    def test_bad_and_cut_lines_are_counted(self):
        # Guards against a log that is cut in the middle of a line, or mixed with other
        # output, and ends the report.
        whole = play_job(Cause.NO_ROOM)
        lines = [*whole, whole[0][:30], "Traceback", '{"t": "soon"}', "[" * 100_000]
        code, text = self.run_on(lines, "")
        self.assertEqual(code, 0)
        for words in (
            "no room",
            "1 cut or not JSON",
            "2 without an object",
            "1 without time, instance or event",
        ):
            self.assertIn(words, text)

    def test_json(self):
        code, text = self.run_on(play_job(Cause.NO_ROOM), "--json")
        (queue,) = json.loads(text)["queues"]
        self.assertEqual((code, queue["lost"]), (0, {"no room": 1}))

    def test_page_fetches_nothing(self):
        lines = [text for cause in JOB_CAUSES for text in play_job(cause)]
        page = render_html(build(*lines))
        self.assertIn("<svg", page)
        for word in ("<script", "<link", "<img", "src=", "@import"):
            self.assertNotIn(word, page)
        self.assertIn("crash loop", render_text(build(*lines)))

    def test_nothing_found(self):
        self.assertEqual(self.run_on(["nothing"], "")[0], 1)

    def test_odd_moments_are_refused(self):
        lines = play_job(Cause.NO_ROOM)
        for text in ("0", "-1", "nan", "inf", "x"):
            with self.subTest(text):
                code, told = self.run_on(lines, f"--bin={text}")
                self.assertEqual(code, USAGE_EXIT)
                self.assertIn("--bin", told)


if __name__ == "__main__":
    unittest.main()
