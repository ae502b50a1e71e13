"""Attribution of losses to causes, and totals of the loss report."""

import json
import tempfile
import unittest
from collections import Counter
from pathlib import Path

from cleo.testers.command_tester import CommandTester

from trefoilhook.account import Cause, LossReport, build_loss_report
from trefoilhook.account.page import render_html, render_text
from trefoilhook.command import USAGE_EXIT_CODE
from trefoilhook.command.account import AccountCommand
from trefoilhook.story import read_lines

BEGAN_S = 1_750_000_000.0
OBJECTIVE_MS = 1000


def line(at_s: float, event: str, instance: str = "a", **fields) -> str:
    """Return a log line."""
    value = {"t": BEGAN_S + at_s, "instance": instance, "event_name": event}
    return json.dumps({**value, **fields})


def accept(job: str, at_s: float = 0.0, queue: str = "q") -> str:
    """Return the line about a job that is accepted."""
    return line(at_s, "JOB_ACCEPTED", job=job, queue=queue, objective_ms=OBJECTIVE_MS)


def finish(job: str, at_s: float, *, phase: str = "completed", queue: str = "q") -> str:
    """Return the line about the end of a job that was accepted at 0 s."""
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
    """Return the line about the start of a task."""
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
    """Return the line about the end of a task."""
    task = f"{job}.0.{step}.0"
    return line(at_s, "TASK_ENDED", task=task, attempt=attempt, how=how, **fields)


def build(*lines: str) -> LossReport:
    """Build the loss report from some lines."""
    unread: Counter[str] = Counter()
    known = list(read_lines(lines, unread=unread))
    return build_loss_report(known, bin_s=10.0, unread=unread)


def build_job_lines(cause: Cause) -> list[str]:
    """Return the lines about a job that is lost to a cause and named after it."""
    job = cause.name.lower().replace("_", "")
    waits = {
        Cause.NO_WORKER: "no worker",
        Cause.EVACUATED: "evacuated",
        Cause.NO_ROOM: "no room",
        Cause.FRAGMENTED: "room in pieces",
        Cause.RESERVED: "reserved",
        Cause.INTERFERENCE: "not borne",
        Cause.BEHIND_OTHERS: "behind others",
        Cause.ISOLATED: "kept apart",
        Cause.WORKER_LIST_STALE: "list stale",
        Cause.NO_OWNER: "owner new",
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
        lines = [accept(job), start(job, 0.1), end(job, 0.5, how="failed")]
        if cause is Cause.CRASH_LOOP:
            lines.append(line(0.9, "CRASH_LOOP_FOUND", job=job, task=f"{job}.0.0.0"))
        return [*lines, finish(job, 1.0, phase="failed")]
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
        Cause.THROTTLED: {"estimate_ms": 800, "slowing_ms": 3000},
        Cause.OVERRUN: {"estimate_ms": 800},
        Cause.OWNER_OVERHEAD: {"estimate_ms": 800},
    }[cause]
    starts_s = 3.1 if cause is Cause.OWNER_OVERHEAD else 0.1
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
    Cause.NO_OWNER,
    Cause.OWNER_OVERHEAD,
    Cause.NO_WORKER,
    Cause.EVACUATED,
    Cause.NO_ROOM,
    Cause.FRAGMENTED,
    Cause.INTERFERENCE,
    Cause.BEHIND_OTHERS,
    Cause.ISOLATED,
    Cause.WORKER_LIST_STALE,
    Cause.RESTARTED,
    Cause.THROTTLED,
    Cause.OVERRUN,
)


class JobTest(unittest.TestCase):
    """Jobs with an objective."""

    def test_each_cause_is_found(self):
        for cause in JOB_CAUSES:
            with self.subTest(cause):
                (loss,) = build(*build_job_lines(cause)).losses
                self.assertIs(loss.cause, cause)

    def test_losses_add_up_to_the_judged_jobs(self):
        # Guards against losses that are counted twice or not at all.
        lines = [text for cause in JOB_CAUSES for text in build_job_lines(cause)]
        lines += [accept("good"), start("good", 0.1), end("good", 0.8)]
        lines += [finish("good", 0.9), accept("cancelled")]
        lines += [line(1.0, "JOB_CANCELLED", job="cancelled")]
        report = build(*lines)
        (queue,) = report.queues
        self.assertEqual(queue.judged, len(JOB_CAUSES) + 1)
        self.assertEqual(queue.good, 1)
        self.assertEqual(queue.lost, dict.fromkeys(JOB_CAUSES, 1))
        self.assertEqual(sum(queue.late_ms.values()), sum(_list_late(report)))

    def test_time_by_cause_adds_up_to_the_total(self):
        for cause in JOB_CAUSES:
            (loss,) = build(*build_job_lines(cause)).losses
            if loss.late_ms:
                with self.subTest(cause):
                    spent_ms = sum(loss.spent_ms.values())
                    self.assertAlmostEqual(
                        spent_ms, loss.late_ms + OBJECTIVE_MS, delta=1.0
                    )

    def test_critical_path_spans_steps(self):
        # The second step waits 2 s for room after the first step is done.
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
        self.assertAlmostEqual(loss.spent_ms[Cause.DECLARED_WORK], 1600.0, delta=1.0)
        self.assertAlmostEqual(loss.spent_ms[Cause.OWNER_OVERHEAD], 300.0, delta=1.0)

    def test_run_with_a_copy(self):
        # The time before a copy that ends first belongs to the run that took too long,
        # not to a restart.
        job = "copied"
        report = build(
            accept(job),
            start(job, 0.0),
            start(job, 1.5, attempt=2),
            end(job, 2.0, attempt=2, estimate_ms=500),
            end(job, 2.1, how="stopped", estimate_ms=500),
            line(2.0, "COPY_SETTLED", how="copy first", saved_ms=1500, wasted_ms=2000),
            finish(job, 2.0),
        )
        (loss,) = report.losses
        self.assertAlmostEqual(loss.spent_ms[Cause.OVERRUN], 1000.0, delta=1.0)
        self.assertNotIn(Cause.RESTARTED, loss.spent_ms)
        self.assertRegex(render_text(report), r"copy first +1 +1\.5 +2\.0")

    def test_time_without_an_owner(self):
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
        # The task runs on without an owner, so only the overrun can be determined.
        self.assertIs(loss.cause, Cause.OVERRUN)
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
        self.assertIs(loss.cause, Cause.NO_OWNER)

    def test_overdue_waiting_job(self):
        report = build(
            accept("waits"),
            line(4.0, "QUEUE_WAITS", queue="q", oldest_waits_for="room in pieces"),
            line(6.0, "QUEUE_WAITS", queue="q", oldest_waits_for="room in pieces"),
        )
        (loss,) = report.losses
        self.assertIs(loss.cause, Cause.FRAGMENTED)
        self.assertAlmostEqual(loss.late_ms, 5000.0, delta=1.0)

    def test_overdue_running_job(self):
        (loss,) = build(accept("runs"), start("runs", 0.1), line(6.0, "STARTED")).losses
        self.assertIs(loss.cause, Cause.RUNNING)

    def test_finished_gang_is_not_open(self):
        # One task of a gang ends as done, the others as "peer ended".
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

    def test_losses_over_time(self):
        first = build_job_lines(Cause.NO_ROOM)
        report = build(*first, accept("late", at_s=25.0), line(60.0, "STARTED"))
        self.assertEqual([time_bin.at_s for time_bin in report.moments], [0.0, 20.0])


def _list_late(report: LossReport) -> list[float]:
    return [loss.late_ms for loss in report.losses]


class ServiceTest(unittest.TestCase):
    """Long-running jobs."""

    def build_shortfall(self, **fields) -> LossReport:
        """Build the loss report from one ``SERVICE_SHORT`` line."""
        values = {"tasks": 6, "away": 0.0, "over": 0.0, "beside": 0.0, **fields}
        return build(line(2.0, "SERVICE_SHORT", job="s", queue="watch", **values))

    def test_each_cause_is_found(self):
        table = (
            ({"away": 1.0, "waited_for": "room in pieces"}, Cause.FRAGMENTED),
            ({"away": 1.0, "waited_for": "owner new"}, Cause.NO_OWNER),
            ({"away": 1.0, "waited_for": ""}, Cause.STARTING),
            ({"over": 1.0, "beside": 1.0}, Cause.LATENCY_BESIDE_BATCH),
            ({"over": 1.0}, Cause.LATENCY_OWN_LOAD),
        )
        for fields, cause in table:
            with self.subTest(cause):
                (service,) = self.build_shortfall(**fields).services
                self.assertEqual(service.task_s, {cause: 2.0})

    def test_causes_add_up(self):
        report = self.build_shortfall(
            away=1.5, over=2.0, beside=0.5, waited_for="no room"
        )
        (service,) = report.services
        self.assertEqual((service.jobs, service.periods), (1, 1))
        self.assertEqual(sum(service.task_s.values()), 2.0 * (1.5 + 2.0))

    def test_line_with_invalid_values_is_skipped(self):
        self.assertEqual(self.build_shortfall(away="many").services, ())


class CommandTest(unittest.TestCase):
    """Output and exit codes of the command."""

    def run_on(self, lines: list[str], arguments: str) -> tuple[int, str]:
        """Run the command on a log file; return exit code and output."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "log"
            path.write_text("\n".join(lines), encoding="utf-8")
            tester = CommandTester(AccountCommand())
            code = tester.execute(f"--log {path} {arguments}")
            return code, tester.io.fetch_output() + tester.io.fetch_error()

    def test_invalid_and_truncated_lines_are_counted(self):
        # Guards against failing on a log that is truncated in the middle of a line or
        # mixed with other output.
        whole = build_job_lines(Cause.NO_ROOM)
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
        code, text = self.run_on(build_job_lines(Cause.NO_ROOM), "--json")
        (queue,) = json.loads(text)["queues"]
        self.assertEqual((code, queue["lost"]), (0, {"no room": 1}))

    def test_page_loads_nothing(self):
        lines = [text for cause in JOB_CAUSES for text in build_job_lines(cause)]
        page = render_html(build(*lines))
        self.assertIn("<svg", page)
        for word in ("<script", "<link", "<img", "src=", "@import"):
            self.assertNotIn(word, page)
        self.assertIn("crash loop", render_text(build(*lines)))

    def test_nothing_found(self):
        self.assertEqual(self.run_on(["nothing"], "")[0], 1)

    def test_invalid_bin_length_is_rejected(self):
        lines = build_job_lines(Cause.NO_ROOM)
        for text in ("0", "-1", "nan", "inf", "x"):
            with self.subTest(text):
                code, output = self.run_on(lines, f"--bin={text}")
                self.assertEqual(code, USAGE_EXIT_CODE)
                self.assertIn("--bin", output)


if __name__ == "__main__":
    unittest.main()
