"""Tests of the executor stand-in and its records."""

import json
import unittest
from collections.abc import Awaitable, Callable

import trio
import trio.testing

from trefoilhook.clock import build_system_clock
from trefoilhook.exceptions import AnswerLostError, NotSentError
from trefoilhook.http import HttpClient, HttpRequest
from trefoilhook.standins import (
    Availability,
    ExecutorSettings,
    ExecutorStandin,
    FaultSettings,
    check_answer,
)

_Scenario = Callable[[ExecutorStandin, HttpClient], Awaitable[None]]


def run_with_executor(scenario: _Scenario, **settings: object) -> None:
    """Run ``scenario`` against an executor in virtual time."""

    async def main() -> None:
        executor = ExecutorStandin(
            clock=build_system_clock(),
            settings=ExecutorSettings(executor_id="e1", **settings),
        )
        async with trio.open_nursery() as nursery:
            port = await nursery.start(executor.run)
            client = HttpClient(host="127.0.0.1", port=port, max_connections=200)
            await scenario(executor, client)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0.05))


def build_run(request_id: str, body: bytes = b"body") -> HttpRequest:
    """Build a run request."""
    headers = (("x-request-id", request_id),)
    return HttpRequest(method="POST", target="/run", headers=headers, body=body)


class ExecutorTest(unittest.TestCase):
    """Slots, connections, records and faults."""

    def test_check_answer(self):
        async def scenario(executor: ExecutorStandin, client: HttpClient) -> None:
            answer = await client.send(build_run("r1"))
            body = answer.body
            self.assertTrue(check_answer(body, request_id="r1", body=b"body"))
            self.assertFalse(check_answer(body, request_id="r2", body=b"body"))
            self.assertFalse(check_answer(body, request_id="r1", body=b"other"))
            self.assertFalse(check_answer(body[:-1], request_id="r1", body=b"body"))

        run_with_executor(scenario)

    def test_overloads_and_repeated_requests_are_counted(self):
        # (requests at once, overloads, high water)
        for at_once, overloads in [(8, 0), (11, 3)]:
            with self.subTest(at_once=at_once):

                async def scenario(
                    executor, client, at_once=at_once, overloads=overloads
                ) -> None:
                    async with trio.open_nursery() as nursery:
                        for number in range(at_once):
                            nursery.start_soon(client.send, build_run(str(number)))
                    await client.send(build_run("0"))
                    records = executor.records
                    self.assertEqual(records.high_water, at_once)
                    self.assertEqual(records.overloads, overloads)
                    self.assertEqual(records.find_repeated(), ("0",))
                    self.assertEqual(records.ended_runs, at_once + 1)

                run_with_executor(scenario, service_time_ms=1_000.0)

    def test_connections_above_the_limit_are_closed(self):
        async def scenario(executor: ExecutorStandin, client: HttpClient) -> None:
            outcomes = []

            async def send(number: int) -> None:
                try:
                    answer = await client.send(build_run(str(number)))
                    outcomes.append(answer.status)
                except (AnswerLostError, NotSentError):
                    outcomes.append(0)

            async with trio.open_nursery() as nursery:
                for number in range(70):
                    nursery.start_soon(send, number)
            self.assertEqual((outcomes.count(200), outcomes.count(0)), (64, 6))
            self.assertEqual(executor.records.refused_connections, 6)
            self.assertEqual(executor.records.high_water_connections, 64)

        run_with_executor(scenario, service_time_ms=1_000.0)

    def test_health_reports_slots_in_use(self):
        async def scenario(executor: ExecutorStandin, client: HttpClient) -> None:
            async with trio.open_nursery() as nursery:
                body = json.dumps({"service_time_ms": 5_000}).encode()
                nursery.start_soon(client.send, build_run("r1", body))
                while not executor.records.runs:
                    await trio.sleep(0.01)
                health = await client.send(HttpRequest(method="GET", target="/health"))
                self.assertEqual(health.parse_json(), {"slots": 8, "in_use": 1})

        run_with_executor(scenario)

    def test_faults(self):
        # (fault, error, runs recorded)
        table = [
            (FaultSettings(availability=Availability.REFUSING), NotSentError, 0),
            (FaultSettings(availability=Availability.HANGING), AnswerLostError, 0),
            (FaultSettings(lost_answers=1), AnswerLostError, 1),
            (FaultSettings(delay_ms=60_000), AnswerLostError, 0),
        ]
        for fault, error, runs in table:
            with self.subTest(fault=fault):

                async def scenario(
                    executor, client, fault=fault, error=error, runs=runs
                ) -> None:
                    await executor.server.change_faults(fault)
                    with self.assertRaises(error):
                        await client.send(build_run("r1"), timeout_ms=5_000)
                    self.assertEqual(len(executor.records.runs), runs)

                run_with_executor(scenario)
