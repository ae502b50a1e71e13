"""Tests of turns beside urgent work that never ends."""

import unittest

import trio

from trefoilhook.runtime.turns import Turns


class TurnsReviewTest(unittest.TestCase):
    """What waits beside a steady stream of urgent work."""

    def test_other_work_gets_turns_beside_steady_urgent_work(self):
        # Guards against answers of workers with fillers, and orders that slow fillers
        # beside services, that wait for as long as the urgent answers fill each pass.
        turns = Turns(read_lag_ms=lambda: 50.0)
        done: list[str] = []

        async def poll() -> None:
            while True:
                await turns.wait(is_urgent=True)
                await trio.lowlevel.checkpoint()

        async def slow_filler() -> None:
            await turns.wait()
            done.append("pace")

        async def main() -> None:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(turns.run)
                for _ in range(60):
                    nursery.start_soon(poll)
                nursery.start_soon(slow_filler)
                for _ in range(1000):
                    await trio.lowlevel.checkpoint()
                nursery.cancel_scope.cancel()
            self.assertEqual(done, ["pace"])

        trio.run(main)


if __name__ == "__main__":
    unittest.main()
