"""Contract of the store adapter with a store at fault."""

import unittest

import trio
import trio.testing

from trefoilhook.exceptions import StoreError, StoreRateError, StoreUnavailableError
from trefoilhook.standins import (
    Availability,
    FaultSettings,
    StoreSettings,
    TcpCut,
)
from trefoilhook.store import (
    ConflictError,
    StoreClient,
    build_nonce,
    swap_reading_back,
)
from trefoilhook.store.tests.bench import Bench, run_with_store


class FaultTest(unittest.TestCase):
    """What the adapter says of a store at fault."""

    def test_faults(self):
        # (fault, error, is proved unsent, did the swap take effect)
        refusing = FaultSettings(availability=Availability.REFUSING)
        hanging = FaultSettings(availability=Availability.HANGING)
        table = [
            (refusing, StoreUnavailableError, True, False),
            (hanging, StoreUnavailableError, False, False),
            (FaultSettings(lost_answers=1), StoreUnavailableError, False, True),
            (FaultSettings(delay_ms=1_000), StoreUnavailableError, False, False),
        ]
        for fault, error, is_unsent, is_done in table:
            with self.subTest(fault=fault):
                run_with_store(self._build_fault(fault, error, is_unsent, is_done))

    def _build_fault(self, fault, error, is_unsent, is_done):
        async def scenario(bench: Bench) -> None:
            await bench.store.server.change_faults(fault)
            with self.assertRaises(error) as caught:
                await bench.client.swap("a", b"1", expected_revision=0)
            self.assertEqual(caught.exception.is_proved_unsent, is_unsent)
            self.assertEqual(bench.store.state.get("a") is not None, is_done)

        return scenario

    def test_connections_that_went_silent_together(self):
        # Several open connections to the store are forgotten at once by what carries
        # them. After the first time-out the others are not tried one by one.
        async def scenario(bench: Bench) -> None:
            cut = TcpCut(
                clock=bench.clock,
                target_host="127.0.0.1",
                target_port=bench.store.server.port,
            )
            async with trio.open_nursery() as nursery:
                port = await nursery.start(cut.run)
                client = bench.connect(port)
                async with trio.open_nursery() as calls:
                    for _ in range(4):
                        calls.start_soon(client.get, "a")
                self.assertEqual(cut.forget_connections(), 4)
                with self.assertRaises(StoreUnavailableError):
                    await client.get("a")
                self.assertIsNone(await client.get("a"))
                nursery.cancel_scope.cancel()

        run_with_store(scenario)

    def test_watch_is_not_answered_by_a_store_that_hangs(self):
        async def scenario(bench: Bench) -> None:
            lease = await bench.client.grant_lease(1_000)
            await bench.client.swap(
                "a", b"1", expected_revision=0, lease_id=lease.lease_id
            )
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._watch_in_vain, bench)
                await bench.clock.sleep_ms(500)
                hanging = FaultSettings(availability=Availability.HANGING)
                await bench.store.server.change_faults(hanging)

        run_with_store(scenario)

    async def _watch_in_vain(self, bench: Bench) -> None:
        with self.assertRaises(StoreUnavailableError):
            await bench.client.watch("", after_revision=1, wait_ms=5_000)

    def test_stranger_changes_nothing(self):
        # A daemon of an earlier run still looks for its store at a port that this
        # store has now. Without a token its member record appeared among our keys.
        async def scenario(bench: Bench) -> None:
            for token in (None, "other"):
                stranger = StoreClient(
                    host="127.0.0.1",
                    port=bench.store.server.port,
                    clock=bench.clock,
                    timeout_ms=500,
                    token=token,
                )
                with self.assertRaises(StoreError):
                    await stranger.swap("a", b"1", expected_revision=0)
            self.assertEqual(bench.store.state.revision, 0)
            self.assertEqual(bench.store.counts.calls, {})

        run_with_store(scenario)

    def test_call_above_the_rate_changes_nothing(self):
        async def scenario(bench: Bench) -> None:
            await bench.client.swap("a", b"1", expected_revision=0)
            with self.assertRaises(StoreRateError):
                await bench.client.swap("b", b"1", expected_revision=0)
            self.assertIsNone(await bench.client.get("b"))
            self.assertEqual(bench.store.counts.refused_calls, 1)

        run_with_store(scenario, settings=StoreSettings(writes_per_s=1.0))

    def test_unknown_path_is_refused(self):
        async def scenario(bench: Bench) -> None:
            with self.assertRaises(StoreError):
                await bench.client._call("GET", "/v1/nothing")

        run_with_store(scenario)


class ReadingBackTest(unittest.TestCase):
    """A lost answer told from a lost race."""

    def test_answer_lost_after_the_effect_is_a_success(self):
        # A journal commit's answer is lost after the store applied it. Sent again it
        # meets its own effect, which looks like a lost race: the operator would be
        # told "not accepted" of a job that then runs.
        async def scenario(bench: Bench) -> None:
            await bench.store.server.change_faults(
                FaultSettings(lost_answers=2, lost_kind="swap")
            )
            revision = await _swap_back(bench, "a", build_nonce().encode())
            self.assertEqual(revision, 1)
            self.assertEqual(bench.store.state.revision, 1)

        run_with_store(scenario)

    def test_lost_race_is_a_conflict(self):
        async def scenario(bench: Bench) -> None:
            await bench.client.swap("a", b"other", expected_revision=0)
            with self.assertRaises(ConflictError) as caught:
                await _swap_back(bench, "a", build_nonce().encode())
            self.assertEqual(caught.exception.current.value, b"other")

        run_with_store(scenario)

    def test_lost_answer_then_overwritten_stays_unknown(self):
        # The first answer is lost; before the writer reads back, another instance
        # writes on top. Neither "done" nor "lost race" could be proved.
        async def scenario(bench: Bench) -> None:
            await bench.store.server.change_faults(FaultSettings(lost_answers=1))
            other = bench.connect()

            async def overwrite() -> None:
                while bench.store.state.revision < 1:
                    await bench.clock.sleep_ms(1)
                await other.swap("a", b"other", expected_revision=1)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(overwrite)
                with self.assertRaises(StoreUnavailableError) as caught:
                    await _swap_back(bench, "a", build_nonce().encode())
            self.assertFalse(caught.exception.is_proved_unsent)

        run_with_store(scenario)

    def test_lost_answer_and_then_no_store_stays_unknown(self):
        # The first answer is lost and the store then refuses connections. The later
        # attempts prove that they weren't sent, which says nothing of the first.
        async def scenario(bench: Bench) -> None:
            lost = FaultSettings(lost_answers=1)
            await bench.store.server.change_faults(lost)

            async def go_down() -> None:
                while bench.store.state.revision < 1:
                    await bench.clock.sleep_ms(1)
                refusing = FaultSettings(availability=Availability.REFUSING)
                await bench.store.server.change_faults(refusing)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(go_down)
                with self.assertRaises(StoreUnavailableError) as caught:
                    await _swap_back(bench, "a", b"nonce")
            self.assertFalse(caught.exception.is_proved_unsent)

        run_with_store(scenario)

    def test_lost_answer_and_then_the_rate_used_up_is_found_out(self):
        async def scenario(bench: Bench) -> None:
            lost = FaultSettings(lost_answers=1)
            await bench.store.server.change_faults(lost)
            self.assertEqual(await _swap_back(bench, "a", b"nonce"), 1)
            self.assertGreater(bench.store.counts.refused_calls, 0)

        run_with_store(scenario, settings=StoreSettings(writes_per_s=1.0))

    def test_store_gone_for_longer(self):
        # (availability, is the failure proved unsent)
        table = [(Availability.REFUSING, True), (Availability.HANGING, False)]
        for availability, is_unsent in table:
            with self.subTest(availability=availability):

                async def scenario(
                    bench: Bench, availability=availability, is_unsent=is_unsent
                ) -> None:
                    await bench.store.server.change_faults(
                        FaultSettings(availability=availability)
                    )
                    with self.assertRaises(StoreUnavailableError) as caught:
                        await _swap_back(bench, "a", b"nonce", timeout_ms=600)
                    self.assertEqual(caught.exception.is_proved_unsent, is_unsent)

                run_with_store(scenario)


async def _swap_back(bench: Bench, key, value, *, timeout_ms=10_000) -> int:
    return await swap_reading_back(
        bench.client,
        key,
        value,
        expected_revision=0,
        clock=bench.clock,
        timeout_ms=timeout_ms,
    )
