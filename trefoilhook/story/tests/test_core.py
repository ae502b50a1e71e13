"""Stories out of logs."""

import json
import unittest

from trefoilhook.story import read_lines, select_story, tell_story


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


class StoryTest(unittest.TestCase):
    """Selecting and telling."""

    def test_own_lines_and_what_concerned_all_between_them(self):
        story = select_story(read_lines(_LOG), "j1")
        self.assertEqual(
            [(line.event, line.instance) for line in story],
            [
                ("JOB_ACCEPTED", "b"),
                ("TASK_STARTED", "a"),
                ("SHARD_CLAIMED", "c"),
                ("JOB_FINISHED", "c"),
            ],
        )

    def test_id_that_begins_another_is_not_meant(self):
        log = (_line(1.0, "a", "JOB_ACCEPTED", job="j11"),)
        self.assertEqual(select_story(read_lines(log), "j1"), [])

    def test_many_alike_are_counted(self):
        log = [_line(float(n), "a", "STORE_DOWN", job="j") for n in range(9)]
        told = tell_story(select_story(read_lines(log), "j"))
        self.assertEqual(len(told), 4)
        self.assertIn("6 more", told[-1])

    def test_unknown_id(self):
        self.assertEqual(tell_story([]), ["no line names this id"])

    def test_end_that_failed_is_shown_among_those_that_are_done(self):
        # A job has failed as one task failed three times. The third failure was the
        # fifth end in a row, so the story counted it among "2 more".
        ends = ["done"] * 4 + ["failed"] + ["done"] * 4
        log = [
            _line(float(n), "a", "TASK_ENDED", task=f"j.0.0.{n}", how=how)
            for n, how in enumerate(ends)
        ]
        told = tell_story(select_story(read_lines(log), "j"))
        self.assertEqual(sum("how=failed" in text for text in told), 1)
        self.assertEqual(sum("1 more" in text for text in told), 2)

    def test_of_queues_that_wait_only_its_own_is_told(self):
        log = [
            _line(1.0, "a", "JOB_ACCEPTED", job="j", queue="q"),
            _line(2.0, "a", "QUEUE_WAITS", queue="q", tasks=4),
            _line(2.0, "a", "QUEUE_WAITS", queue="other", tasks=9),
            _line(3.0, "a", "JOB_FINISHED", job="j", queue="q"),
        ]
        told = select_story(read_lines(log), "j")
        waits = [line.fields["queue"] for line in told if line.event == "QUEUE_WAITS"]
        self.assertEqual(waits, ["q"])

    def test_store_that_was_lost_before_the_first_line_is_told(self):
        # A submission is refused as the store is away. The line that told of the loss
        # came before it, so the story began without its cause.
        log = [
            _line(1.0, "a", "STORE_DOWN", why="no answer"),
            _line(1.1, "b", "STORE_DOWN", why="no answer"),
            _line(1.2, "c", "STORE_DOWN", why="no answer"),
            _line(1.5, "b", "STORE_BACK"),
            _line(1.7, "c", "STARTED"),
            _line(2.0, "a", "REQUEST_REFUSED", job="j", queue="q"),
        ]
        told = select_story(read_lines(log), "j")
        self.assertEqual(
            [(line.instance, line.event) for line in told],
            [("a", "STORE_DOWN"), ("a", "REQUEST_REFUSED")],
        )
