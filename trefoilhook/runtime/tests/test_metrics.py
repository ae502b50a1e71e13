"""Tests of process metrics and their text format."""

import unittest

import trio

from trefoilhook.exceptions import AnswerLostError
from trefoilhook.http import HttpClient, HttpRequest, HttpResponse
from trefoilhook.runtime.core import METRICS_PATH
from trefoilhook.runtime.metrics import ProcessMetrics, render
from trefoilhook.runtime.tests.cluster import PREFIX, Cluster, build_body, run_cluster


class ProcessMetricsTest(unittest.TestCase):
    """Counters, histograms and gauges."""

    def test_text_format(self):
        metrics = ProcessMetrics()
        metrics.count("ends", "done")
        metrics.count("ends", "done")
        metrics.observe("accept_ms", 7.0)
        metrics.observe("accept_ms", 99_000.0)
        metrics.gauges["is_owner"] = lambda: 1.0
        text = render(metrics).decode()
        for line in (
            'trefoilhook_ends_total{kind="done"} 2.0',
            'trefoilhook_accept_ms_bucket{le="5"} 0.0',
            'trefoilhook_accept_ms_bucket{le="10"} 1.0',
            'trefoilhook_accept_ms_bucket{le="+Inf"} 2.0',
            "trefoilhook_is_owner 1.0",
        ):
            self.assertIn(line, text)

    def test_lost_connections_are_counted(self):
        # Guards against a server that doesn't count the connections it aborts.
        async def fail(request: HttpRequest) -> HttpResponse:
            return HttpResponse(status=200, body="no bytes")

        async def scenario(cluster: Cluster) -> None:
            process = cluster.instances[0].process
            server = process._build_server(("127.0.0.1", 0), fail)
            async with trio.open_nursery() as nursery:
                port = await nursery.start(server.run)
                with self.assertRaises(AnswerLostError):
                    client = HttpClient(host="127.0.0.1", port=port)
                    await client.send(HttpRequest(method="GET", target="/"))
                nursery.cancel_scope.cancel()
            text = render(process.metrics).decode()
            line = 'trefoilhook_connections_lost_total{kind="failed"} 1.0'
            self.assertIn(line, text)

        run_cluster(scenario, instances=1)

    def test_metrics_of_a_process(self):
        async def scenario(cluster: Cluster) -> None:
            (instance,) = cluster.instances
            job = PREFIX + "00000000000000c1"
            await cluster.send(instance, "POST", job, build_body())
            await cluster.wait_until(lambda: bool(cluster.list_runs()))
            await trio.sleep(0.3)
            request = HttpRequest(method="GET", target=METRICS_PATH)
            answer = await instance.process._answer_metrics(request)
            text = answer.body.decode()
            self.assertIn('trefoilhook_requests_total{kind="POST 200"} 1.0', text)
            self.assertIn('trefoilhook_ends_total{kind="done"} 1.0', text)
            self.assertIn("trefoilhook_takeover_ms_count 1.0", text)

        run_cluster(scenario, instances=1)

    def test_restart_gauges_are_exported_only_by_owner(self):
        # Guards against missing metrics for a service task that is not restarted, and
        # against stale values from a process that is no longer the owner.
        async def scenario(cluster: Cluster) -> None:
            instance = await cluster.wait_for_owner()
            gauges = instance.process.metrics.gauges
            await cluster.wait_until(lambda: "restart_wait_ms" in gauges)
            self.assertEqual(gauges["restarts_waiting"](), 0.0)
            self.assertEqual(gauges["restart_wait_ms"](), 0.0)
            await cluster.run_failing_service(instance, "00000000000000c1")
            await cluster.wait_until(lambda: gauges["restart_wait_ms"]() > 500.0)
            self.assertEqual(gauges["restarts_waiting"](), 1.0)
            self.assertEqual(gauges["service_largest_share"](), 0.0)
            text = render(instance.process.metrics).decode()
            self.assertIn("trefoilhook_restarts_waiting 1.0", text)
            self.assertIn("trefoilhook_restart_wait_ms ", text)
            instance.stop.set()
            await cluster.wait_until(lambda: not instance.process.is_owner)
            self.assertNotIn("restarts_waiting", gauges)
            self.assertNotIn("restart_wait_ms", gauges)

        run_cluster(scenario, instances=1, workers=1, task_ms=600.0)
