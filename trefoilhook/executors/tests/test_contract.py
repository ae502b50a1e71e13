"""The executor client against the stand-in executor, over sockets."""

import unittest

import trio

from trefoilhook.clock import build_system_clock
from trefoilhook.executors import ExecutorClient
from trefoilhook.standins import ExecutorSettings, ExecutorStandin, check_answer


class ContractTest(unittest.TestCase):
    """Agreement of the client and the stand-in on the protocol."""

    def test_request_id_body_and_response_are_received_intact(self):
        # If the executor does not read the request id sent by the client, a request
        # that runs twice cannot be distinguished from two requests.
        async def scenario():
            clock = build_system_clock()
            standin = ExecutorStandin(
                clock=clock, settings=ExecutorSettings(executor_id="e1")
            )
            async with trio.open_nursery() as nursery:
                port = await nursery.start(standin.run)
                client = ExecutorClient(executor_id="e1", host="127.0.0.1", port=port)
                answer = await client.run(
                    b"seat 7",
                    content_type="text/plain",
                    timeout_ms=10_000,
                    request_id="r-1",
                    may_send=lambda: True,
                )
                health = await client.get_health(timeout_ms=10_000)
                await client.close()
                nursery.cancel_scope.cancel()
            self.assertEqual([r.request_id for r in standin.records.runs], ["r-1"])
            whole = check_answer(answer.body, request_id="r-1", body=b"seat 7")
            self.assertTrue(whole)
            self.assertEqual((health.slots, health.in_use), (8, 0))

        trio.run(scenario)
