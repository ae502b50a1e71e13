"""Tests of requests that reach a stopping instance over an open connection."""

import unittest

import trio

from trefoilhook.exceptions import NotSentError
from trefoilhook.http import HttpRequest
from trefoilhook.runtime.core import _STOP_MARGIN_MS
from trefoilhook.runtime.tests.cluster import (
    BOUNDS,
    HOST,
    PREFIX,
    Cluster,
    PlainClient,
    build_body,
    run_cluster,
)
from trefoilhook.standins.cut import CutSettings

_DELAY_MS = 150.0
"""Delay of the store's answers, as on a link that is full, in ms. It takes twice as
long to store a job."""


class LateRequestTest(unittest.TestCase):
    """The store answers late."""

    def test_request_shortly_before_the_end_is_answered_or_not_read(self):
        # Guards against a request that is read and then cut off with its process.
        async def scenario(cluster: Cluster) -> None:
            cut = await cluster.start_cut()
            instance = await cluster.start_instance(store_port=cut.port)
            client = PlainClient(host="127.0.0.1", port=instance.process.entry_port)
            headers = (("host", HOST), ("deadline-ms", "3000"))
            count = HttpRequest(method="GET", target=PREFIX, headers=headers)
            await client.send(count, timeout_ms=3000.0)
            cut.set(CutSettings(delay_ms=_DELAY_MS))
            instance.stop.set()
            end_ms = BOUNDS.shutdown_ms - _STOP_MARGIN_MS
            await trio.sleep((end_ms - _DELAY_MS) / 1000.0)
            job = HttpRequest(
                method="POST",
                target=f"{PREFIX}00000000000000e1",
                headers=headers,
                body=build_body(),
            )
            try:
                response = await client.send(job, timeout_ms=3000.0)
            except NotSentError:
                return
            self.assertEqual(response.status, 200)

        run_cluster(scenario, instances=0, workers=0)


if __name__ == "__main__":
    unittest.main()
