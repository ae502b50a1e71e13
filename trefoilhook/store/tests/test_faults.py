"""Contract of the store client with a faulty store."""

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
    generate_nonce,
    swap_with_read_back,
)
from trefoilhook.store.tests.fixture import StoreFixture, run_with_store


class FaultTest(unittest.TestCase):
    """Errors that the client raises for a faulty store."""

    def test_faults(self):
        # (fault, error, is_proved_unsent, whether the swap took effect)
        refusing = FaultSettings(availability=Availability.REFUSING)
        hanging = FaultSettings(availability=Availability.HANGING)
        table = [
            (refusing, StoreUnavailableError, True, False),
            (hanging, StoreUnavailableError, False, False),
            (FaultSettings(lost_answers=1), StoreUnavailableError, False, True),
            (FaultSettings(delay_ms=1_000), StoreUnavailableError, False, False),
        ]
        for fault, error, is_unsent, is_applied in table:
            with self.subTest(fault=fault):
                run_with_store(
                    self._build_scenario(fault, error, is_unsent, is_applied)
                )

    def _build_scenario(self, fault, error, is_unsent, is_applied):
        async def scenario(fixture: StoreFixture) -> None:
            await fixture.store.server.change_faults(fault)
            with self.assertRaises(error) as caught:
                await fixture.client.swap("a", b"1", expected_revision=0)
            self.assertEqual(caught.exception.is_proved_unsent, is_unsent)
            self.assertEqual(fixture.store.state.get("a") is not None, is_applied)

        return scenario

    def test_silent_idle_connections_are_dropped_together(self):
        # The network drops several idle connections to the store without notice. After
        # the first timeout the client must not try the others one after another.
        async def scenario(fixture: StoreFixture) -> None:
            cut = TcpCut(
                clock=fixture.clock,
                target_host="127.0.0.1",
                target_port=fixture.store.server.port,
            )
            async with trio.open_nursery() as nursery:
                port = await nursery.start(cut.run)
                client = fixture.connect(port)
                async with trio.open_nursery() as calls:
                    for _ in range(4):
                        calls.start_soon(client.get, "a")
                self.assertEqual(cut.blackhole_connections(), 4)
                with self.assertRaises(StoreUnavailableError):
                    await client.get("a")
                self.assertIsNone(await client.get("a"))
                nursery.cancel_scope.cancel()

        run_with_store(scenario)

    def test_watch_times_out_on_hanging_store(self):
        async def scenario(fixture: StoreFixture) -> None:
            lease = await fixture.client.grant_lease(1_000)
            await fixture.client.swap(
                "a", b"1", expected_revision=0, lease_id=lease.lease_id
            )
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._expect_watch_timeout, fixture)
                await fixture.clock.sleep_ms(500)
                hanging = FaultSettings(availability=Availability.HANGING)
                await fixture.store.server.change_faults(hanging)

        run_with_store(scenario)

    async def _expect_watch_timeout(self, fixture: StoreFixture) -> None:
        with self.assertRaises(StoreUnavailableError):
            await fixture.client.watch("", after_revision=1, wait_ms=5_000)

    def test_client_with_wrong_token_changes_nothing(self):
        # A daemon of an earlier run still connects to the port of its store, where
        # another store listens now. Without a token check its member record appeared
        # among that store's keys.
        async def scenario(fixture: StoreFixture) -> None:
            for token in (None, "other"):
                stranger = StoreClient(
                    host="127.0.0.1",
                    port=fixture.store.server.port,
                    clock=fixture.clock,
                    timeout_ms=500,
                    token=token,
                )
                with self.assertRaises(StoreError):
                    await stranger.swap("a", b"1", expected_revision=0)
            self.assertEqual(fixture.store.state.revision, 0)
            self.assertEqual(fixture.store.counts.calls, {})

        run_with_store(scenario)

    def test_rate_limited_call_changes_nothing(self):
        async def scenario(fixture: StoreFixture) -> None:
            await fixture.client.swap("a", b"1", expected_revision=0)
            with self.assertRaises(StoreRateError):
                await fixture.client.swap("b", b"1", expected_revision=0)
            self.assertIsNone(await fixture.client.get("b"))
            self.assertEqual(fixture.store.counts.refused_calls, 1)

        run_with_store(scenario, settings=StoreSettings(writes_per_s=1.0))

    def test_unknown_path_is_refused(self):
        async def scenario(fixture: StoreFixture) -> None:
            with self.assertRaises(StoreError):
                await fixture.client._call("GET", "/v1/nothing")

        run_with_store(scenario)


class ReadBackTest(unittest.TestCase):
    """A swap whose answer is lost is distinguished from a conflict."""

    def test_lost_answer_to_applied_swap_is_a_success(self):
        # The answer to a journal commit is lost after the store applied it. Sent again,
        # the commit conflicts with its own effect; reported as a conflict, the operator
        # would be told "not accepted" of a job that then runs.
        async def scenario(fixture: StoreFixture) -> None:
            await fixture.store.server.change_faults(
                FaultSettings(lost_answers=2, lost_kind="swap")
            )
            revision = await _swap_with_read_back(
                fixture, "a", generate_nonce().encode()
            )
            self.assertEqual(revision, 1)
            self.assertEqual(fixture.store.state.revision, 1)

        run_with_store(scenario)

    def test_concurrent_write_is_a_conflict(self):
        async def scenario(fixture: StoreFixture) -> None:
            await fixture.client.swap("a", b"other", expected_revision=0)
            with self.assertRaises(ConflictError) as caught:
                await _swap_with_read_back(fixture, "a", generate_nonce().encode())
            self.assertEqual(caught.exception.current.value, b"other")

        run_with_store(scenario)

    def test_lost_answer_then_overwrite_leaves_outcome_unknown(self):
        # The first answer is lost, and another instance overwrites the key before the
        # writer retries. Neither success nor conflict can be proved.
        async def scenario(fixture: StoreFixture) -> None:
            await fixture.store.server.change_faults(FaultSettings(lost_answers=1))
            other = fixture.connect()

            async def overwrite() -> None:
                while fixture.store.state.revision < 1:
                    await fixture.clock.sleep_ms(1)
                await other.swap("a", b"other", expected_revision=1)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(overwrite)
                with self.assertRaises(StoreUnavailableError) as caught:
                    await _swap_with_read_back(fixture, "a", generate_nonce().encode())
            self.assertFalse(caught.exception.is_proved_unsent)

        run_with_store(scenario)

    def test_lost_answer_then_store_outage_leaves_outcome_unknown(self):
        # The first answer is lost and the store then refuses connections. The later
        # attempts are proved unsent, but the first may have taken effect.
        async def scenario(fixture: StoreFixture) -> None:
            lost = FaultSettings(lost_answers=1)
            await fixture.store.server.change_faults(lost)

            async def stop_store() -> None:
                while fixture.store.state.revision < 1:
                    await fixture.clock.sleep_ms(1)
                refusing = FaultSettings(availability=Availability.REFUSING)
                await fixture.store.server.change_faults(refusing)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(stop_store)
                with self.assertRaises(StoreUnavailableError) as caught:
                    await _swap_with_read_back(fixture, "a", b"nonce")
            self.assertFalse(caught.exception.is_proved_unsent)

        run_with_store(scenario)

    def test_lost_answer_is_resolved_after_rate_limit(self):
        async def scenario(fixture: StoreFixture) -> None:
            lost = FaultSettings(lost_answers=1)
            await fixture.store.server.change_faults(lost)
            self.assertEqual(await _swap_with_read_back(fixture, "a", b"nonce"), 1)
            self.assertGreater(fixture.store.counts.refused_calls, 0)

        run_with_store(scenario, settings=StoreSettings(writes_per_s=1.0))

    def test_store_unavailable_until_timeout(self):
        # (availability, whether the swap is proved unsent)
        table = [(Availability.REFUSING, True), (Availability.HANGING, False)]
        for availability, is_unsent in table:
            with self.subTest(availability=availability):

                async def scenario(
                    fixture: StoreFixture,
                    availability=availability,
                    is_unsent=is_unsent,
                ) -> None:
                    await fixture.store.server.change_faults(
                        FaultSettings(availability=availability)
                    )
                    with self.assertRaises(StoreUnavailableError) as caught:
                        await _swap_with_read_back(
                            fixture, "a", b"nonce", timeout_ms=600
                        )
                    self.assertEqual(caught.exception.is_proved_unsent, is_unsent)

                run_with_store(scenario)


async def _swap_with_read_back(
    fixture: StoreFixture, key, value, *, timeout_ms=10_000
) -> int:
    return await swap_with_read_back(
        fixture.client,
        key,
        value,
        expected_revision=0,
        clock=fixture.clock,
        timeout_ms=timeout_ms,
    )
