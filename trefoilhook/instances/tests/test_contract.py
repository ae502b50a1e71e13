"""The instance list client against a stand-in list, including faults."""

import unittest
from collections.abc import Awaitable, Callable

import trio
import trio.testing

from trefoilhook.clock import build_system_clock
from trefoilhook.exceptions import AnswerLostError, NotSentError
from trefoilhook.instances import (
    ExecutorRecord,
    InstanceListClient,
    InstanceState,
    WorkerRecord,
)
from trefoilhook.standins import (
    Availability,
    FaultSettings,
    InstanceLists,
    InstanceListStandin,
)
from trefoilhook.workers import Resources

_LAG_MS = 10_000.0
_LISTS = InstanceLists(
    executors=(
        ExecutorRecord(
            executor_id="e1",
            team="tours",
            service="seats",
            host="127.0.0.1",
            port=1,
            failure_domain="fd-a",
        ),
    ),
    workers=(
        WorkerRecord(
            worker_id="w1",
            rack="r1",
            failure_domain="fd-a",
            host="127.0.0.1",
            port=2,
            capacity=Resources(cores=32.0, memory_bytes=125_000_000_000),
        ),
    ),
)

_Scenario = Callable[[InstanceListStandin, InstanceListClient], Awaitable[None]]


def run_with_list(scenario: _Scenario) -> None:
    """Run ``scenario`` in virtual time against a list that lags by ``_LAG_MS``."""

    async def main() -> None:
        clock = build_system_clock()
        standin = InstanceListStandin(clock=clock, lag_ms=_LAG_MS, lists=_LISTS)
        async with trio.open_nursery() as nursery:
            port = await nursery.start(standin.run)
            client = InstanceListClient(
                host="127.0.0.1", port=port, clock=clock, timeout_ms=500
            )
            await scenario(standin, client)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0.05))


class InstanceListTest(unittest.TestCase):
    """Content of the list, its lag, and errors under faults."""

    def test_state_changes_appear_after_the_lag(self):
        async def scenario(standin, client) -> None:
            standin.set_state("e1", InstanceState.LEAVING)
            standin.set_state("w1", InstanceState.LEAVING)
            page = await client.list_backends()
            self.assertEqual((page.executors, page.workers), _get_records(_LISTS))
            self.assertEqual(page.age_ms, _LAG_MS)
            await trio.sleep(_LAG_MS / 1000 + 1)
            page = await client.list_backends()
            self.assertEqual(page.executors[0].state, InstanceState.LEAVING)
            self.assertEqual(page.workers[0].state, InstanceState.LEAVING)

        run_with_list(scenario)

    def test_removed_instance_is_listed_until_the_lag_has_passed(self):
        async def scenario(standin, client) -> None:
            standin.set_lists(InstanceLists())
            self.assertEqual(len((await client.list_backends()).workers), 1)
            await trio.sleep(_LAG_MS / 1000 + 1)
            self.assertEqual((await client.list_backends()).workers, ())

        run_with_list(scenario)

    def test_faults(self):
        table = [
            (FaultSettings(availability=Availability.REFUSING), NotSentError),
            (FaultSettings(availability=Availability.HANGING), AnswerLostError),
            (FaultSettings(delay_ms=1_000), AnswerLostError),
            (FaultSettings(lost_answers=1), AnswerLostError),
        ]
        for fault, error in table:
            with self.subTest(fault=fault):

                async def scenario(standin, client, fault=fault, error=error) -> None:
                    await standin.server.change_faults(fault)
                    with self.assertRaises(error):
                        await client.list_backends()
                    await standin.server.change_faults(FaultSettings())
                    self.assertEqual(len((await client.list_backends()).workers), 1)

                run_with_list(scenario)


def _get_records(lists: InstanceLists):
    return (lists.executors, lists.workers)
