"""Tests of the recovery of the fleet after an outage of the store."""

import unittest

import attrs
import trio

from trefoilhook.runtime.tests.cluster import (
    BOUNDS,
    PREFIX,
    Cluster,
    build_body,
    run_cluster,
)
from trefoilhook.standins.platform_store import StoreFault

_JOB = "00000000000000d1"
_OTHER = "00000000000000d2"
_OUTAGE_MS = 6000.0
_RESUME_MS = 1000.0
"""Maximum time from the recovery of the store to the first start, in ms."""

_OWNER_LEASE_MS = 2000.0
_EVACUATING = attrs.evolve(BOUNDS, evacuation_ms=5000.0)


async def _start(cluster: Cluster, *, instances: int = 2) -> None:
    for _ in range(instances):
        await cluster.start_instance(bounds=_EVACUATING)
    owner = await cluster.wait_for_owner()
    # In the longer outages, the first task ends while no owner can start the second.
    await cluster.send(owner, "POST", PREFIX + _JOB, build_body(1, 1))
    await cluster.wait_until(lambda: bool(cluster.list_runs()))


async def _resume(cluster: Cluster) -> float:
    """End the outage; return the time until a newly submitted job starts, in ms."""
    instance = next(each for each in cluster.instances if not each.ended.is_set())
    cluster.store.fault = StoreFault.NONE
    recovered_ms = cluster.clock.monotonic_ms()

    async def is_accepted() -> bool:
        target = PREFIX + _OTHER
        return (
            await cluster.send(instance, "POST", target, build_body())
        ).status == 200

    await cluster.wait_for(is_accepted)
    await cluster.wait_until(
        lambda: any(run.task.startswith(_OTHER) for run in cluster.list_runs())
    )
    return cluster.clock.monotonic_ms() - recovered_ms


class OutageTest(unittest.TestCase):
    """The store accepts calls without answering them, or refuses them."""

    def test_fleet_works_soon_after_the_return(self):
        # Guards against claims, watches and starts that wait for timeouts after the
        # recovery.
        for fault, outage_ms in (
            (StoreFault.SILENT, 1300.0),
            (StoreFault.SILENT, _OUTAGE_MS),
            (StoreFault.BUSY, _OUTAGE_MS),
        ):

            async def scenario(
                cluster: Cluster,
                fault: StoreFault = fault,
                outage_ms: float = outage_ms,
            ) -> None:
                await _start(cluster)
                owner = await cluster.wait_for_owner()
                cluster.store.fault = fault
                before = cluster.store.calls
                await cluster.clock.sleep_ms(outage_ms)
                calls = cluster.store.calls - before
                self.assertEqual(owner.process.is_owner, outage_ms < _OWNER_LEASE_MS)
                self.assertLess(await _resume(cluster), _RESUME_MS)
                await cluster.wait_for_state(owner, _JOB, "completed")
                self.assertEqual(cluster.find_duplicate_runs(), [])
                # The shortest probe intervals are 375 ms, and 150 ms for the owner. The
                # constant allows for calls before the first probe.
                self.assertLess(calls, outage_ms / 375.0 + outage_ms / 150.0 + 20)

            with self.subTest(fault=fault, outage_ms=outage_ms):
                run_cluster(scenario, instances=0, task_ms=2800.0)

    def test_outage_in_which_the_owner_ends(self):
        # Guards against a claim delayed beyond the lease of an owner that has ended.
        async def scenario(cluster: Cluster) -> None:
            await _start(cluster)
            owner = await cluster.wait_for_owner()
            cluster.store.fault = StoreFault.SILENT
            await cluster.clock.sleep_ms(_OUTAGE_MS / 2)
            owner.scope.cancel()
            await cluster.clock.sleep_ms(_OUTAGE_MS / 2)
            # The store may suspend leases during an outage.
            self.assertLess(await _resume(cluster), _OWNER_LEASE_MS + _RESUME_MS)
            (other,) = [each for each in cluster.instances if each is not owner]
            await cluster.wait_for_state(other, _JOB, "completed")
            self.assertEqual(cluster.find_duplicate_runs(), [])

        run_cluster(scenario, instances=0, task_ms=2800.0)

    def test_only_instance_claims_again_soon(self):
        # Guards against an owner that lost its lease in a store outage and still waits
        # for the backoff meant for failures of its own machine.
        async def scenario(cluster: Cluster) -> None:
            await _start(cluster, instances=1)
            owner = await cluster.wait_for_owner()
            cluster.store.fault = StoreFault.SILENT
            await cluster.wait_until(lambda: not owner.process.is_owner)
            self.assertLess(await _resume(cluster), _RESUME_MS)
            await cluster.wait_for_state(owner, _JOB, "completed")
            self.assertEqual(cluster.find_duplicate_runs(), [])

        run_cluster(scenario, instances=0, task_ms=2800.0)

    def test_requests_during_the_outage(self):
        # Guards against sending requests to a store known to be unavailable and then
        # reporting an unknown outcome to the callers.
        async def scenario(cluster: Cluster) -> None:
            (instance,) = cluster.instances
            await cluster.send(instance, "POST", PREFIX + _JOB, build_body())
            cluster.store.fault = StoreFault.SILENT
            # The outage is not known yet, so the outcome of the write is unknown.
            answer = await cluster.send(instance, "POST", PREFIX + _OTHER, build_body())
            self.assertEqual(answer.status, 504)
            began_ms = cluster.clock.monotonic_ms()
            for method, body in (("POST", build_body()), ("GET", b""), ("DELETE", b"")):
                job = _OTHER.replace("d2", "d3")
                answer = await cluster.send(instance, method, PREFIX + job, body)
                self.assertEqual((method, answer.status), (method, 503))
                self.assertIsNotNone(answer.get_header("retry-after"))
            self.assertLess(cluster.clock.monotonic_ms() - began_ms, 300.0)
            cluster.store.fault = StoreFault.NONE
            await trio.sleep(_RESUME_MS / 1000.0)
            answer = await cluster.send(instance, "POST", PREFIX + _OTHER, build_body())
            self.assertEqual(answer.status, 200)

        run_cluster(scenario, instances=1)
