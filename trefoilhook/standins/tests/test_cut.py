"""Tests of the fault-injecting TCP proxy."""

import errno
import socket
import unittest

import trio
import trio.testing

from trefoilhook.clock import build_system_clock
from trefoilhook.exceptions import AnswerLostError, NotSentError
from trefoilhook.http import HttpClient, HttpRequest, HttpResponse, HttpServer
from trefoilhook.standins import CutSettings, Partition, TcpCut

_GET = HttpRequest(method="GET", target="/")


def run_with_cut(scenario) -> None:
    """Run ``scenario`` against a server behind the proxy, in virtual time."""

    async def answer(request: HttpRequest) -> HttpResponse:
        return HttpResponse(status=200, body=request.body)

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            server = HttpServer(handler=answer, host="127.0.0.1", port=0)
            target = await nursery.start(server.run)
            cut = TcpCut(
                clock=build_system_clock(), target_host="127.0.0.1", target_port=target
            )
            port = await nursery.start(cut.run)
            client = HttpClient(host="127.0.0.1", port=port)
            await scenario(cut, client)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0.05))


class TcpCutTest(unittest.TestCase):
    """Silent connections, partitions and delays."""

    def test_forgotten_connection_is_silent_and_new_ones_work(self):
        async def scenario(cut: TcpCut, client: HttpClient) -> None:
            await client.send(_GET, timeout_ms=1_000)
            self.assertEqual(cut.blackhole_connections(), 1)
            with self.assertRaises(AnswerLostError):
                await client.send(_GET, timeout_ms=1_000)
            self.assertGreater(cut.dropped_bytes, 0)
            answer = await client.send(_GET, timeout_ms=1_000)
            self.assertEqual((answer.status, cut.accepted_connections), (200, 2))

        run_with_cut(scenario)

    def test_partitions(self):
        # (partition, error of a new connection)
        table = [
            (Partition.SILENT, AnswerLostError),
            (Partition.REFUSED, NotSentError),
        ]
        for partition, error in table:
            with self.subTest(partition=partition):

                async def scenario(cut, client, partition=partition, error=error):
                    await client.send(_GET, timeout_ms=1_000)
                    cut.set(CutSettings(partition=partition))
                    await trio.testing.wait_all_tasks_blocked()
                    with self.assertRaises(AnswerLostError):
                        await client.send(_GET, timeout_ms=1_000)
                    with self.assertRaises(error):
                        await client.send(_GET, timeout_ms=1_000)
                    cut.set(CutSettings())
                    await trio.testing.wait_all_tasks_blocked()
                    answer = await client.send(_GET, timeout_ms=1_000)
                    self.assertEqual(answer.status, 200)

                run_with_cut(scenario)

    def test_port_stays_reserved_in_a_partition(self):
        # Guards against another process that binds the port while connections are
        # refused, which keeps the proxy from listening again.
        async def scenario(cut: TcpCut, client: HttpClient) -> None:
            cut.set(CutSettings(partition=Partition.REFUSED))
            await trio.testing.wait_all_tasks_blocked()
            with self.assertRaises(NotSentError):
                await client.send(_GET, timeout_ms=1_000)
            with socket.socket() as other, self.assertRaises(OSError) as caught:
                other.bind(("127.0.0.1", cut.port))
            self.assertEqual(caught.exception.errno, errno.EADDRINUSE)
            cut.set(CutSettings())
            await trio.testing.wait_all_tasks_blocked()
            answer = await client.send(_GET, timeout_ms=1_000)
            self.assertEqual(answer.status, 200)

        run_with_cut(scenario)

    def test_delay_is_one_way_and_keeps_order(self):
        async def scenario(cut: TcpCut, client: HttpClient) -> None:
            cut.set(CutSettings(delay_ms=500.0))
            body = bytes(range(256)) * 2_000
            request = HttpRequest(method="POST", target="/", body=body)
            began = trio.current_time()
            answer = await client.send(request, timeout_ms=60_000)
            self.assertEqual(answer.body, body)
            self.assertGreaterEqual(trio.current_time() - began, 1.0)

        run_with_cut(scenario)
