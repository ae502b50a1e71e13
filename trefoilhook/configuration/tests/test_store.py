"""Tests of the editor on the store's adapter, with a faulty store."""

import functools
import unittest

import trio

from trefoilhook.configuration import ConfigurationConflictError, ConfigurationEditor
from trefoilhook.exceptions import StoreUnavailableError
from trefoilhook.results import ResultCode
from trefoilhook.standins import Availability, FaultSettings
from trefoilhook.store import swap_with_read_back
from trefoilhook.store.tests.fixture import run_with_store

_PATH = "quota/cores"
_TIMEOUT_MS = 3_000.0


def _build_editor(fixture, *, get=None):
    swap = functools.partial(
        swap_with_read_back, fixture.client, clock=fixture.clock, timeout_ms=_TIMEOUT_MS
    )
    return ConfigurationEditor(
        get=get or fixture.client.get, swap=swap, root="root", clock=fixture.clock
    )


class StoreTest(unittest.TestCase):
    """The outcome reported to an operator agrees with the store."""

    def test_a_lost_answer_is_an_accepted_change(self):
        # Guards against a false conflict: the store applies the change, its response is
        # lost, and the retried swap finds its own value.
        async def scenario(fixture):
            editor = _build_editor(fixture)
            lost = FaultSettings(lost_answers=1, lost_kind="swap")
            await fixture.store.server.change_faults(lost)
            accepted = await editor.put("a", _PATH, 4, author="op")
            self.assertEqual(await editor.read("a", _PATH), accepted)

        run_with_store(scenario)

    def test_a_lost_answer_below_another_change_is_an_accepted_change(self):
        # As above, but another operator changes the document before the first change is
        # read back, so that the retried swap finds a foreign value.
        async def scenario(fixture):
            editor, other = _build_editor(fixture), _build_editor(fixture)
            lost = FaultSettings(lost_answers=1, lost_kind="swap")
            await fixture.store.server.change_faults(lost)
            accepted = []

            async def change():
                accepted.append(await editor.put("a", _PATH, 4, author="op"))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(change)
                while not fixture.store.state.get("root/config/teams/a"):
                    await fixture.clock.sleep_ms(1)
                await other.put("a", "quota/accelerators", 1, author="other")
            history = await editor.read_history("a")
            self.assertEqual([row.author for row in history], ["other", "op"])
            self.assertEqual(accepted[0].revision, history[1].revision)

        run_with_store(scenario)

    def test_outcomes_while_the_store_is_down(self):
        # The reported outcome decides whether the operator repeats the change.
        for availability, code in (
            (Availability.REFUSING, ResultCode.STORE_UNAVAILABLE),
            (Availability.HANGING, ResultCode.COMMIT_UNKNOWN),
        ):

            async def scenario(fixture, availability=availability, code=code):
                editor = _build_editor(fixture)
                await editor.put("a", _PATH, 1, author="op")
                fault = FaultSettings(availability=availability)

                async def get_then_fail(key):
                    entry = await fixture.client.get(key)
                    await fixture.store.server.change_faults(fault)
                    return entry

                failing = _build_editor(fixture, get=get_then_fail)
                with self.assertRaises(StoreUnavailableError) as caught:
                    await failing.put("a", _PATH, 2, author="op")
                self.assertIs(caught.exception.code, code)
                await fixture.store.server.change_faults(FaultSettings())
                self.assertEqual((await editor.read("a", _PATH)).value, 1)

            run_with_store(scenario)

    def test_twenty_operators_racing_lose_no_change(self):
        # Guards against lost updates: twenty operators add a service each and retry on
        # conflicts; every accepted service must be present afterwards.
        async def scenario(fixture):
            editor = _build_editor(fixture)

            async def add(number):
                while True:
                    try:
                        path = f"services/s-{number}/max_queue"
                        await editor.put("a", path, number, author=f"op-{number}")
                        return
                    except ConfigurationConflictError:
                        continue

            async with trio.open_nursery() as nursery:
                for number in range(20):
                    nursery.start_soon(add, number)
            found = await editor.read("a", "services")
            self.assertEqual(
                {name: one["max_queue"] for name, one in found.value.items()},
                {f"s-{number}": number for number in range(20)},
            )

        run_with_store(scenario)
