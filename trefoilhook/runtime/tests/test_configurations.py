"""Tests of requests at an instance that can't read the operator's configuration."""

import unittest

import attrs

from trefoilhook.runtime.following import WATCH_WAIT_MS
from trefoilhook.runtime.tests.cluster import (
    BOUNDS,
    PREFIX,
    Cluster,
    Instance,
    build_body,
    build_configuration,
    run_cluster,
)
from trefoilhook.standins.platform_store import StoreFault

_BOUNDS = attrs.evolve(BOUNDS, configuration_ms=2000.0)
_NEW_PREFIX = "/added/"
_JOB = "00000000000000c1"
_WATCH_MS = WATCH_WAIT_MS + 200.0
_RECOVERY_MS = 1500.0
"""Maximum time from the recovery of the store until requests are served again, in
ms."""


async def _refuse_operator_keys(cluster: Cluster) -> None:
    """Let the store refuse reads of the operator's keys, and answer all others."""
    cluster.store.unreadable_prefix = "op/"


async def _silence(cluster: Cluster) -> None:
    cluster.store.fault = StoreFault.SILENT


async def _refuse(cluster: Cluster) -> None:
    cluster.store.fault = StoreFault.BUSY


async def _recover(cluster: Cluster) -> None:
    cluster.store.fault = StoreFault.NONE
    cluster.store.unreadable_prefix = None


class StaleConfigurationTest(unittest.TestCase):
    """A version that adds one route and removes another can't be read in time."""

    def _check(self, lose_store) -> None:
        async def scenario(cluster: Cluster) -> None:
            instance = await cluster.start_instance(bounds=_BOUNDS)
            await lose_store(cluster)
            # The pending watch would still be answered.
            await cluster.clock.sleep_ms(_WATCH_MS)
            cluster.store.write("op/config", build_configuration(2, _NEW_PREFIX))
            await cluster.clock.sleep_ms(_BOUNDS.configuration_ms)
            await self._expect_refusals(cluster, instance)
            await _recover(cluster)
            recovered_ms = cluster.clock.monotonic_ms()

            async def is_current() -> bool:
                added = await cluster.send(instance, "GET", _NEW_PREFIX)
                removed = await cluster.send(instance, "GET", PREFIX)
                return (added.status, removed.status) == (200, 404)

            await cluster.wait_for(is_current)
            elapsed_ms = cluster.clock.monotonic_ms() - recovered_ms
            self.assertLess(elapsed_ms, _RECOVERY_MS)

        run_cluster(scenario, instances=0, workers=0)

    async def _expect_refusals(self, cluster: Cluster, instance: Instance) -> None:
        for method, target, body in (
            ("GET", _NEW_PREFIX, b""),
            ("GET", PREFIX, b""),
            ("POST", _NEW_PREFIX + _JOB, build_body()),
            ("POST", PREFIX + _JOB, build_body()),
        ):
            answer = await cluster.send(instance, method, target, body)
            self.assertEqual((method, target, answer.status), (method, target, 503))
            self.assertIsNotNone(answer.get_header("retry-after"))

    def test_outdated_routes_decide_no_request(self):
        # Guards against status 404 for an added route, and against accepting jobs for a
        # removed one, by a configuration that was read too long ago.
        for lose_store in (_refuse_operator_keys, _silence, _refuse):
            with self.subTest(lose_store.__name__):
                self._check(lose_store)

    def test_states_of_jobs_are_told_by_an_outdated_configuration(self):
        # Guards against a job without an answer for as long as the store doesn't serve
        # the operator's keys, although it serves the job's record.
        async def scenario(cluster: Cluster) -> None:
            instance = await cluster.start_instance(bounds=_BOUNDS)
            await cluster.send(instance, "POST", PREFIX + _JOB, build_body())
            await _refuse_operator_keys(cluster)
            await cluster.clock.sleep_ms(_WATCH_MS + _BOUNDS.configuration_ms)
            await self._expect_refusals(cluster, instance)
            self.assertEqual(await cluster.read_state(instance, _JOB), "queued")
            # Its route may be gone, which would be told by another status.
            unknown = _JOB.replace("c1", "c2")
            self.assertEqual(await cluster.read_state(instance, unknown), "503")

        run_cluster(scenario, instances=0, workers=0)
