"""Tests of the states of jobs at an instance whose configuration is outdated."""

import unittest

import attrs

from trefoilhook.runtime import keys
from trefoilhook.runtime.following import WATCH_WAIT_MS
from trefoilhook.runtime.tests.cluster import (
    BOUNDS,
    HOST,
    PREFIX,
    Cluster,
    Instance,
    build_body,
    build_configuration,
    run_cluster,
)
from trefoilhook.scheduling import JobRecord, Queue, encode_job_record
from trefoilhook.scheduling.tests.cases import build_job

_BOUNDS = attrs.evolve(BOUNDS, configuration_ms=1500.0)
_NEW_PREFIX = "/added/"
_JOB = "00000000000000d1"
_QUEUE = Queue(
    name="radded",
    host=HOST,
    prefix=_NEW_PREFIX,
    service="s",
    priority=0,
    max_attempts=3,
    stretch=1.5,
    objective_ms=250.0,
)


async def _outdate(cluster: Cluster) -> None:
    """Refuse reads of the operator's keys until what is known of them is too old."""
    cluster.store.unreadable_prefix = "op/"
    await cluster.clock.sleep_ms(WATCH_WAIT_MS + 200.0 + _BOUNDS.configuration_ms)


async def _start_outdated(cluster: Cluster) -> Instance:
    instance = await cluster.start_instance(bounds=_BOUNDS)
    await _outdate(cluster)
    return instance


def _store_job(cluster: Cluster, queue: Queue | None) -> None:
    """Store a job as accepted by an instance with a newer configuration."""
    job = attrs.evolve(build_job(), job_id=_JOB, queue="radded")
    record = encode_job_record(JobRecord(job=job, queue=queue))
    cluster.store.write_bytes(keys.job_key(keys.SHARD, _JOB), record)


async def _get(cluster: Cluster, instance: Instance, path: str, host: str = HOST):
    answer = await cluster.send(instance, "GET", path, host=host)
    return answer.parse_json()["state"] if answer.status == 200 else answer.status


class OutdatedAnswerTest(unittest.TestCase):
    """The route of a job is not in the configuration that the instance knows."""

    def test_job_of_an_added_route_is_answered_for(self):
        # Guards against a job without an answer for as long as its instance can't
        # receive the configuration with its route.
        async def scenario(cluster: Cluster) -> None:
            instance = await _start_outdated(cluster)
            _store_job(cluster, _QUEUE)
            state = await _get(cluster, instance, _NEW_PREFIX + _JOB)
            self.assertEqual(state, "queued")

        run_cluster(scenario, instances=0, workers=0)

    def test_job_below_a_known_shorter_prefix_is_answered_for(self):
        # Guards against a path that is looked up under the wrong one of two routes.
        async def scenario(cluster: Cluster) -> None:
            cluster.store.write("op/config", build_configuration(2, "/"))
            instance = await _start_outdated(cluster)
            _store_job(cluster, _QUEUE)
            state = await _get(cluster, instance, _NEW_PREFIX + _JOB)
            self.assertEqual(state, "queued")

        run_cluster(scenario, instances=0, workers=0)

    def test_ended_job_of_an_unknown_route_is_answered_for(self):
        # Guards against an end without an answer: its record names no queue.
        async def scenario(cluster: Cluster) -> None:
            (first,) = cluster.instances
            both = build_configuration(2, PREFIX, _NEW_PREFIX)
            cluster.store.write("op/config", both)
            path = _NEW_PREFIX + _JOB

            async def is_accepted() -> bool:
                body = build_body()
                answer = await cluster.send(first, "POST", path, body)
                return answer.status == 200

            await cluster.wait_for(is_accepted)

            async def has_ended() -> bool:
                return await _get(cluster, first, path) == "completed"

            await cluster.wait_for(has_ended)
            cluster.store.write("op/config", build_configuration(3, PREFIX))
            instance = await _start_outdated(cluster)
            self.assertEqual(await _get(cluster, instance, path), "completed")
            wrong = PREFIX + "x/" + _JOB
            self.assertEqual(await _get(cluster, instance, wrong), 503)

        run_cluster(scenario, instances=1, workers=1)

    def test_job_of_a_route_that_was_removed_is_refused(self):
        # Guards against an instance that answers 404 under the configuration in force,
        # and tells the state again once that is outdated.
        async def scenario(cluster: Cluster) -> None:
            both = build_configuration(2, PREFIX, _NEW_PREFIX)
            cluster.store.write("op/config", both)
            instance = await cluster.start_instance(bounds=_BOUNDS)
            _store_job(cluster, _QUEUE)
            path = _NEW_PREFIX + _JOB
            self.assertEqual(await _get(cluster, instance, path), "queued")
            cluster.store.write("op/config", build_configuration(3, PREFIX))

            async def is_removed() -> bool:
                return await _get(cluster, instance, path) == 404

            await cluster.wait_for(is_removed)
            await _outdate(cluster)
            self.assertEqual(await _get(cluster, instance, path), 503)

        run_cluster(scenario, instances=0, workers=0)

    def test_state_is_not_told_under_a_wrong_path(self):
        # Guards against a state under a path or a host that isn't the job's.
        async def scenario(cluster: Cluster) -> None:
            instance = await _start_outdated(cluster)
            _store_job(cluster, _QUEUE)
            for path, host in (
                ("/other/" + _JOB, HOST),
                ("/" + _JOB, HOST),
                (_NEW_PREFIX + "x/" + _JOB, HOST),
                (_NEW_PREFIX + _JOB, "other.example"),
            ):
                status = await _get(cluster, instance, path, host)
                self.assertEqual((path, host, status), (path, host, 503))

        run_cluster(scenario, instances=0, workers=0)

    def test_known_end_is_not_told_under_a_wrong_path(self):
        # Guards against an end that is told under any path once an instance knows it.
        async def scenario(cluster: Cluster) -> None:
            instance = await cluster.start_instance(bounds=_BOUNDS)
            await cluster.send(instance, "POST", PREFIX + _JOB, build_body())
            await cluster.wait_for_state(instance, _JOB, "completed")
            await _outdate(cluster)
            self.assertEqual(await _get(cluster, instance, "/other/" + _JOB), 503)
            self.assertEqual(await _get(cluster, instance, PREFIX + _JOB), "completed")

        run_cluster(scenario, instances=0, workers=1)

    def test_job_without_a_record_or_a_queue_is_refused(self):
        # Guards against status 404 or 410 for a job that may exist.
        async def scenario(cluster: Cluster) -> None:
            instance = await _start_outdated(cluster)
            self.assertEqual(await _get(cluster, instance, _NEW_PREFIX + _JOB), 503)
            _store_job(cluster, None)
            self.assertEqual(await _get(cluster, instance, _NEW_PREFIX + _JOB), 503)

        run_cluster(scenario, instances=0, workers=0)


if __name__ == "__main__":
    unittest.main()
