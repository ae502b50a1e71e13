"""Tests of the factories of an instance's components."""

import unittest

import trio

from trefoilhook.daemon.builders import build_server
from trefoilhook.exceptions import AnswerLostError
from trefoilhook.http import HttpClient, HttpRequest, HttpResponse
from trefoilhook.metrics import Metrics
from trefoilhook.settings import ListenerSettings


class ServerTest(unittest.TestCase):
    """HTTP servers of the listeners."""

    def test_lost_connections_are_counted(self):
        # Guards against a listener that doesn't count the connections it aborts.
        async def fail(request: HttpRequest) -> HttpResponse:
            return HttpResponse(status=200, body="no bytes")

        async def scenario(metrics: Metrics) -> None:
            server = build_server(ListenerSettings(), fail, metrics)
            async with trio.open_nursery() as nursery:
                port = await nursery.start(server.run)
                with self.assertRaises(AnswerLostError):
                    client = HttpClient(host="127.0.0.1", port=port)
                    await client.send(HttpRequest(method="GET", target="/"))
                nursery.cancel_scope.cancel()

        metrics = Metrics(instance_id="i-1", failure_domain="fd-1", region="r-1")
        self.addCleanup(metrics.close)
        trio.run(scenario, metrics)
        name = "trefoilhook_http_connections_lost_total"
        self.assertIn(f'{name}{{reason="failed"}} 1.0', metrics.render().decode())
