"""Tests of manual and system clocks."""

import unittest

import trio
import trio.testing

from trefoilhook.clock import ManualTime, build_manual_clock, build_system_clock


class ClockTest(unittest.TestCase):
    """Manual and system time."""

    def test_manual_time_moves_both_clocks(self):
        manual = ManualTime()
        clock = build_manual_clock(manual)
        before = clock.wall_ms()
        manual.advance(250.0)
        self.assertEqual(clock.monotonic_ms(), 250.0)
        self.assertEqual(clock.wall_ms() - before, 250.0)

    def test_manual_time_does_not_go_back(self):
        with self.assertRaises(ValueError):
            ManualTime().advance(-1.0)

    def test_system_clock_follows_virtual_time(self):
        async def scenario():
            clock = build_system_clock()
            wall, start = clock.wall_ms(), clock.monotonic_ms()
            await clock.sleep_ms(60_000)
            self.assertAlmostEqual(clock.monotonic_ms() - start, 60_000, delta=1)
            self.assertAlmostEqual(clock.wall_ms() - wall, 60_000, delta=1)

        trio.run(scenario, clock=trio.testing.MockClock(autojump_threshold=0))
