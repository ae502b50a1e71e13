"""Tests of probes, waits and abandoned calls during outages, on virtual time."""

import unittest
from collections import Counter
from collections.abc import Awaitable, Callable
from unittest import mock

import trio
import trio.testing

from trefoilhook.clock import Clock, build_boottime_clock, build_system_clock
from trefoilhook.platform.reachability import PendingCall, Reachability

_INSTANCES = 45
_OUTAGE_S = 6.0
_RETURN_BOUND_MS = 650.0
"""Maximum time from the recovery of a service to the end of every wait for it, in ms:
the longest interval between two probes, and an answer."""


class _Service:
    """A service that is unresponsive until ``recovery_s``, or refuses calls."""

    def __init__(self, *, recovery_s: float, refuses: bool = False) -> None:
        self.recovery_s = recovery_s
        self.refuses = refuses
        self.calls_s: list[float] = []

    async def answer(self, reachability: Reachability, clock: Clock) -> bool:
        """Answer one probe, and record its outcome."""
        sent_ms = clock.monotonic_ms()
        self.calls_s.append(trio.current_time())
        if trio.current_time() >= self.recovery_s:
            reachability.record_answer(sent_ms)
            return True
        if not self.refuses:
            await trio.sleep(1.0)
        reachability.record_failure(sent_ms)
        return False


class ReachabilityTest(unittest.TestCase):
    """Each scenario starts with a failed call at the start of the outage."""

    def _run(
        self,
        service: _Service,
        scenario: Callable[[Reachability, Clock], Awaitable[None]],
        *,
        instances: int = 1,
    ) -> None:
        async def run_one() -> None:
            clock = build_system_clock()
            reachability = Reachability(clock=clock)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    reachability.run_probes, lambda: service.answer(reachability, clock)
                )
                await scenario(reachability, clock)
                nursery.cancel_scope.cancel()

        async def main() -> None:
            start_s = trio.current_time()
            service.recovery_s += start_s
            async with trio.open_nursery() as nursery:
                for _ in range(instances):
                    nursery.start_soon(run_one)
            service.calls_s = [at_s - start_s for at_s in service.calls_s]
            service.recovery_s -= start_s

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_callers_resume_soon_after_the_return(self):
        # Guards against callers that wait for their own timeouts after the recovery.
        for refuses in (False, True):
            waited_s: list[float] = []

            async def wait(reachability: Reachability, clock: Clock) -> None:
                began_s = trio.current_time()
                reachability.record_failure(clock.monotonic_ms())
                await reachability.wait_for_retry(200.0, limit_ms=60_000.0)
                waited_s.append(trio.current_time() - began_s)  # noqa: B023

            with self.subTest(refuses=refuses):
                self._run(_Service(recovery_s=_OUTAGE_S, refuses=refuses), wait)
                late_ms = (waited_s[0] - _OUTAGE_S) * 1000.0
                self.assertTrue(0.0 <= late_ms <= _RETURN_BOUND_MS, late_ms)

    def test_instances_do_not_return_together(self):
        # Guards against instances that all call the store as soon as it recovers.
        service = _Service(recovery_s=_OUTAGE_S)

        async def wait(reachability: Reachability, clock: Clock) -> None:
            reachability.record_failure(clock.monotonic_ms())
            await reachability.wait_for_retry(200.0, limit_ms=60_000.0)

        self._run(service, wait, instances=_INSTANCES)
        for second, calls in Counter(map(int, service.calls_s)).items():
            self.assertLessEqual(calls, 3 * _INSTANCES, f"in second {second}")
        answered = [at_s for at_s in service.calls_s if at_s >= _OUTAGE_S]
        self.assertEqual(len(answered), _INSTANCES)
        slots = Counter(int(at_s * 20) for at_s in answered)
        self.assertLessEqual(max(slots.values()), _INSTANCES // 2)

    def test_call_sent_into_the_outage_is_given_up(self):
        # Guards against waiting after the recovery for a call sent during the outage.
        abandoned: dict[str, bool] = {}
        ended_ms: dict[str, float] = {}

        async def wait(name: str, call: PendingCall) -> None:
            with call.scope:
                await trio.sleep(2.0)
            abandoned[name] = call.scope.cancelled_caught
            ended_ms[name] = trio.current_time() * 1000.0

        async def scenario(reachability: Reachability, clock: Clock) -> None:
            reachability.record_failure(clock.monotonic_ms())
            await trio.sleep(1.3)
            old = PendingCall(sent_ms=clock.monotonic_ms())
            reachability.begin_call(old)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(wait, "old", old)
                await trio.sleep(0.65)
                read = PendingCall(sent_ms=clock.monotonic_ms(), is_repeatable=True)
                reachability.begin_call(read)
                nursery.start_soon(wait, "read", read)
                await trio.sleep(0.05)
                await reachability.wait_for_retry(0.0, limit_ms=60_000.0)
                ended_ms["recovered"] = reachability.recovered_ms
                young = PendingCall(sent_ms=clock.monotonic_ms())
                reachability.begin_call(young)
                nursery.start_soon(wait, "young", young)

        self._run(_Service(recovery_s=2.0), scenario)
        self.assertEqual(abandoned, {"old": True, "read": True, "young": False})
        self.assertLess(ended_ms["read"] - ended_ms["recovered"], 1.0)

    def test_lost_answer_gives_up_watches_only(self):
        # Guards against abandoning concurrent commits, whose effect is then unknown,
        # because of one lost answer, and against waiting for a watch lost with it.
        abandoned: dict[float, bool] = {}

        async def scenario(reachability: Reachability, clock: Clock) -> None:
            commit = PendingCall(sent_ms=clock.monotonic_ms())
            watch = PendingCall(sent_ms=clock.monotonic_ms(), wait_ms=1000.0)
            for call in (commit, watch):
                reachability.begin_call(call)
            await trio.sleep(0.5)
            reachability.record_failure(clock.monotonic_ms())
            await reachability.wait_for_retry(200.0)
            self.assertFalse(reachability.is_unavailable)
            for call in (commit, watch):
                abandoned[call.wait_ms] = call.scope.deadline <= trio.current_time()

        service = _Service(recovery_s=0.0)
        self._run(service, scenario)
        self.assertEqual(abandoned, {0.0: False, 1000.0: True})
        self.assertEqual(len(service.calls_s), 1)

    def test_stuck_watch_beside_answered_calls(self):
        # Guards against waiting for a watch on a dead connection until its timeout, and
        # against refusing work because of it while the store answers other calls.
        async def scenario(reachability: Reachability, clock: Clock) -> None:
            began_ms = clock.monotonic_ms()
            watch = PendingCall(sent_ms=began_ms, wait_ms=1000.0, is_repeatable=True)
            reachability.begin_call(watch)
            for after_ms, is_stuck in ((1500.0, False), (1700.0, True)):
                await clock.sleep_ms(began_ms + after_ms - clock.monotonic_ms())
                reachability.record_answer(clock.monotonic_ms() - 1.0)
                found = watch.scope.deadline <= trio.current_time()
                self.assertEqual((found, reachability.is_suspect), (is_stuck, False))
            reachability.record_failure(began_ms)
            self.assertFalse(reachability.is_suspect)

        service = _Service(recovery_s=0.0)
        self._run(service, scenario)
        self.assertEqual(service.calls_s, [])

    def test_answer_that_is_received_is_not_given_up(self):
        # Guards against a large answer on a slow link that is begun anew whenever a
        # later call is answered or lost.
        async def scenario(reachability: Reachability, clock: Clock) -> None:
            began_ms = clock.monotonic_ms()
            watch = PendingCall(sent_ms=began_ms, wait_ms=1000.0, is_repeatable=True)
            reachability.begin_call(watch)
            for number in range(1, 40):
                await trio.sleep(0.1)
                watch.note_received(1000, clock.monotonic_ms())
                if number == 20:
                    reachability.record_failure(clock.monotonic_ms())
                reachability.record_answer(clock.monotonic_ms())
                self.assertFalse(watch.is_overdue(clock.monotonic_ms()))
            self.assertGreater(watch.scope.deadline, trio.current_time())
            await trio.sleep(0.7)
            reachability.record_answer(clock.monotonic_ms())
            self.assertLessEqual(watch.scope.deadline, trio.current_time())

        self._run(_Service(recovery_s=0.0), scenario)

    def test_late_probe_beside_a_large_answer(self):
        # Guards against a store that counts as unavailable while its answers are late
        # because one of them uses the whole link.
        async def scenario(reachability: Reachability, clock: Clock) -> None:
            watch = PendingCall(sent_ms=clock.monotonic_ms(), wait_ms=1000.0)
            reachability.begin_call(watch)
            watch.note_received(1000, clock.monotonic_ms())
            reachability.record_failure(clock.monotonic_ms())
            # The first probes time out after 1 s.
            for _ in range(20):
                await trio.sleep(0.1)
                watch.note_received(1000, clock.monotonic_ms())
                self.assertFalse(reachability.is_unavailable)
            await trio.sleep(0.9)
            self.assertTrue(reachability.is_unavailable)

        self._run(_Service(recovery_s=_OUTAGE_S), scenario)

    def test_pause_of_the_process_is_not_silence_of_the_service(self):
        # Guards against requests that are refused after the process stood still, while
        # the answer to its probe waits to be read.
        for pause_s in (0.5, 1.2, 5.0):
            with self.subTest(pause_s):
                self.assertNotIn(True, self._watch_pause(pause_s))

    def _watch_pause(self, pause_s: float) -> list[bool]:
        """Return whether the service was unavailable in each step after a pause."""
        clock = trio.testing.MockClock(autojump_threshold=0.0)
        reachability: Reachability | None = None
        seen: list[bool] = []

        async def answer() -> bool:
            sent_ms = trio.current_time() * 1000.0
            await trio.sleep(0.02)
            if not seen:
                clock.jump(pause_s)
            for _ in range(12):
                await trio.lowlevel.checkpoint()
                seen.append(reachability.is_unavailable)
            reachability.record_answer(sent_ms)
            return True

        async def main() -> None:
            nonlocal reachability
            reachability = Reachability(clock=build_system_clock())
            async with trio.open_nursery() as nursery:
                nursery.start_soon(reachability.run_probes, answer)
                reachability.record_failure(trio.current_time() * 1000.0)
                await trio.sleep(pause_s + 2.0)
                nursery.cancel_scope.cancel()
            self.assertFalse(reachability.is_suspect)

        trio.run(main, clock=clock)
        return seen

    def test_idle_instance_finds_the_store_away(self):
        # Guards against an instance with only a pending watch that accepts and holds
        # requests until the watch times out, 2 s into the outage.
        results: list[tuple[float, bool]] = []

        async def scenario(reachability: Reachability, clock: Clock) -> None:
            began_ms = clock.monotonic_ms()
            reachability.begin_call(PendingCall(sent_ms=began_ms, wait_ms=1000.0))
            await trio.sleep(1.85)
            await reachability.wait_for_probe_result(10_000.0)
            results.append(
                (clock.monotonic_ms() - began_ms, reachability.is_unavailable)
            )

        self._run(_Service(recovery_s=_OUTAGE_S), scenario)
        ((after_ms, is_unavailable),) = results
        self.assertTrue(is_unavailable)
        self.assertLessEqual(after_ms, 2300.0)

    def test_refused_call_leaves_watches_pending(self):
        # Guards against calls that multiply while the store refuses some of them.
        for is_refusal in (True, False):
            with self.subTest(is_refusal=is_refusal):
                clock = build_boottime_clock()
                reachability = Reachability(clock=clock)
                sent_ms = clock.monotonic_ms()
                watch = PendingCall(sent_ms=sent_ms, wait_ms=1000.0, is_repeatable=True)
                reachability.begin_call(watch)
                with mock.patch.object(reachability, "_give_up_watches") as give_up:
                    reachability.record_failure(sent_ms + 1.0, is_refusal=is_refusal)
                    reachability.record_answer(sent_ms + 2.0)
                self.assertEqual(give_up.called, not is_refusal)

    def test_pending_watch_does_not_end_refusals(self):
        # Guards against treating the answer to an earlier watch as the recovery of a
        # store that still refuses this instance's calls.
        reachability = Reachability(clock=build_boottime_clock())
        reachability.record_failure(1000.0)
        reachability.record_answer(900.0)
        self.assertTrue(reachability.is_suspect)
        reachability.record_answer(1100.0)
        self.assertFalse(reachability.is_suspect)
