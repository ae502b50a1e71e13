"""Tests of the line writer: it never blocks, and counts the lines that it drops."""

import json
import unittest

from trefoilhook.logs import LineWriter


class _Pipe:
    """A pipe of limited capacity."""

    def __init__(self, room: int) -> None:
        self.room = room
        self.data = b""

    def write(self, data: bytes) -> int:
        if self.room <= 0:
            raise BlockingIOError
        taken = data[: self.room]
        self.room -= len(taken)
        self.data += taken
        return len(taken)


class LineWriterTest(unittest.TestCase):
    """Readers that are slow, stalled or gone."""

    def test_line_cut_by_a_full_pipe_is_completed_later(self):
        pipe = _Pipe(room=3)
        writer = LineWriter(write=pipe.write)
        writer.add('{"a":1}')
        pipe.room = 100
        writer.add('{"b":2}')
        self.assertEqual(pipe.data, b'{"a":1}\n{"b":2}\n')

    def test_lines_past_the_buffer_are_counted(self):
        # Guards against a stalled reader blocking the process: excess lines are
        # dropped, and their count is written once the reader continues.
        pipe = _Pipe(room=0)
        writer = LineWriter(write=pipe.write, limit_bytes=20)
        for _ in range(5):
            writer.add('{"a":1}')
        pipe.room = 1000
        writer.add("{}")
        lines = [json.loads(line) for line in pipe.data.decode().splitlines()]
        self.assertEqual(lines[-2], {"event": 1005, "dropped": 3})
        self.assertEqual(lines[-1], {})

    def test_closed_pipe_is_ignored(self):
        def write(data: bytes) -> int:
            raise BrokenPipeError

        writer = LineWriter(write=write)
        writer.add("{}")
        writer.add("{}")
        self.assertEqual(writer.dropped, 0)
