"""Selection and formatting of the history of an id."""

import json
import unittest

from trefoilhook.story import format_history, read_lines, select_history


def _line(time_s: float, instance: str, event: str, **fields) -> str:
    value = {"t": time_s, "instance": instance, "event_name": event, **fields}
    return json.dumps(value)


_LOG = (
    _line(1.0, "a", "SHARD_CLAIMED", epoch=1),
    _line(2.0, "b", "JOB_ACCEPTED", job="j1"),
    "  2.1 b " + _line(2.1, "a", "TASK_STARTED", task="j1.0.0.0", worker="w"),
    _line(2.2, "a", "TASK_STARTED", task="j2.0.0.0", worker="w"),
    "not a line {",
    _line(3.0, "c", "SHARD_CLAIMED", epoch=2),
    _line(4.0, "c", "JOB_FINISHED", job="j1"),
    _line(5.0, "c", "SHARD_CLAIMED", epoch=3),
)


class HistoryTest(unittest.TestCase):
    """Selecting lines and formatting them."""

    def test_own_lines_and_context_events_between_them(self):
        history = select_history(read_lines(_LOG), "j1")
        self.assertEqual(
            [(line.event, line.instance) for line in history],
            [
                ("JOB_ACCEPTED", "b"),
                ("TASK_STARTED", "a"),
                ("SHARD_CLAIMED", "c"),
                ("JOB_FINISHED", "c"),
            ],
        )

    def test_prefix_of_another_id_does_not_match(self):
        log = (_line(1.0, "a", "JOB_ACCEPTED", job="j11"),)
        self.assertEqual(select_history(read_lines(log), "j1"), [])

    def test_similar_lines_are_counted(self):
        log = [_line(float(n), "a", "STORE_DOWN", job="j") for n in range(9)]
        history = format_history(select_history(read_lines(log), "j"))
        self.assertEqual(len(history), 4)
        self.assertIn("6 more", history[-1])

    def test_unknown_id(self):
        self.assertEqual(format_history([]), ["no line names this id"])

    def test_failed_end_is_shown_among_successful_ends(self):
        # Guards against hiding a failed end: as the fifth consecutive end it was
        # counted among "2 more" similar lines.
        ends = ["done"] * 4 + ["failed"] + ["done"] * 4
        log = [
            _line(float(n), "a", "TASK_ENDED", task=f"j.0.0.{n}", how=how)
            for n, how in enumerate(ends)
        ]
        history = format_history(select_history(read_lines(log), "j"))
        self.assertEqual(sum("how=failed" in text for text in history), 1)
        self.assertEqual(sum("1 more" in text for text in history), 2)

    def test_lines_naming_a_waiting_or_unknown_task_are_selected(self):
        # Guards against a history that omits what the owner logs about the wait of a
        # service task after the end of its attempt.
        log = [
            _line(1.0, "a", "TASK_ENDED", task="j.0.0.1", how="failed"),
            _line(2.0, "a", "QUEUE_WAITS", queue="q", restart_task="j.0.0.1"),
            _line(2.0, "a", "SERVICE_SHORT", job="j", unknown_task="j.0.0.1"),
            _line(4.0, "a", "QUEUE_WAITS", queue="q", restart_task=""),
            _line(4.0, "a", "SERVICE_SHORT", job="j", unknown_task="j.0.0.2"),
        ]
        history = select_history(read_lines(log), "j.0.0.1")
        self.assertEqual([line.time_s for line in history], [1.0, 2.0, 2.0])

    def test_only_waits_of_its_own_queue_are_selected(self):
        log = [
            _line(1.0, "a", "JOB_ACCEPTED", job="j", queue="q"),
            _line(2.0, "a", "QUEUE_WAITS", queue="q", tasks=4),
            _line(2.0, "a", "QUEUE_WAITS", queue="other", tasks=9),
            _line(3.0, "a", "JOB_FINISHED", job="j", queue="q"),
        ]
        history = select_history(read_lines(log), "j")
        waits = [
            line.fields["queue"] for line in history if line.event == "QUEUE_WAITS"
        ]
        self.assertEqual(waits, ["q"])

    def test_store_outage_before_the_first_line_is_included(self):
        # Guards against a history without its cause: a submission is refused during a
        # store outage whose STORE_DOWN line precedes the first line about the job.
        log = [
            _line(1.0, "a", "STORE_DOWN", why="no answer"),
            _line(1.1, "b", "STORE_DOWN", why="no answer"),
            _line(1.2, "c", "STORE_DOWN", why="no answer"),
            _line(1.5, "b", "STORE_BACK"),
            _line(1.7, "c", "STARTED"),
            _line(2.0, "a", "REQUEST_REFUSED", job="j", queue="q"),
        ]
        history = select_history(read_lines(log), "j")
        self.assertEqual(
            [(line.instance, line.event) for line in history],
            [("a", "STORE_DOWN"), ("a", "REQUEST_REFUSED")],
        )
