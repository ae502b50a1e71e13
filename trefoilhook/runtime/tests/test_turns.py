"""Tests of turns of work that can wait."""

import unittest

import trio

from trefoilhook.runtime.turns import Turns


class TurnsTest(unittest.TestCase):
    """How much of it runs beside work that can't wait, and in which order."""

    def run_beside(self, turns: Turns, scenario) -> None:
        async def main() -> None:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(turns.run)
                with trio.fail_after(5.0):
                    await scenario(nursery)
                nursery.cancel_scope.cancel()

        trio.run(main)

    def test_steps_of_others_do_not_wait_for_all_that_is_ready(self):
        # Guards against a write that takes a second, as each of its steps waits for the
        # answers of all workers.
        turns = Turns(read_lag_ms=lambda: 50.0)
        done: list[int] = []

        async def apply_answer(number: int) -> None:
            await turns.wait()
            done.append(number)

        async def scenario(nursery: trio.Nursery) -> None:
            for number in range(300):
                nursery.start_soon(apply_answer, number)
            for _ in range(12):
                await trio.lowlevel.checkpoint()
            self.assertLessEqual(len(done), 12 * 10)
            while len(done) < 300:
                await trio.lowlevel.checkpoint()
            self.assertEqual(sorted(done), list(range(300)))

        self.run_beside(turns, scenario)

    def test_urgent_work_comes_first(self):
        # Guards against the end of an urgent task that is applied after those of all
        # fillers.
        turns = Turns(read_lag_ms=lambda: 50.0)
        done: list[str] = []

        async def apply_answer(name: str, is_urgent: bool) -> None:
            await turns.wait(is_urgent=is_urgent)
            done.append(name)

        async def scenario(nursery: trio.Nursery) -> None:
            for number in range(100):
                nursery.start_soon(apply_answer, f"filler {number}", False)
            await trio.lowlevel.checkpoint()
            nursery.start_soon(apply_answer, "urgent", True)
            while len(done) < 101:
                await trio.lowlevel.checkpoint()
            self.assertLess(done.index("urgent"), 40)

        self.run_beside(turns, scenario)

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

    def test_nothing_waits_while_the_loop_keeps_up(self):
        # Guards against a delay of each answer of an owner that isn't short of time.
        turns = Turns(read_lag_ms=lambda: 1.0)

        async def main() -> None:
            # Nothing grants turns here.
            with trio.fail_after(1.0):
                await turns.wait()

        trio.run(main)

    def test_cancelled_wait_takes_no_turn(self):
        # Guards against turns that are granted to polls of workers that were removed.
        turns = Turns(read_lag_ms=lambda: 50.0)

        async def main() -> None:
            with trio.move_on_after(0.01):
                await turns.wait()
            self.assertFalse(turns._is_waited_for())

        trio.run(main)


if __name__ == "__main__":
    unittest.main()
