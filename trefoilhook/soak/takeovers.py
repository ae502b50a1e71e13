"""Check of a takeover with a silent worker, after all other faults are reverted."""

import json
import random
import signal

import trio

from trefoilhook.runtime import keys
from trefoilhook.soak.clients import Clients
from trefoilhook.soak.fleet import Fleet, Instance
from trefoilhook.soak.submissions import Submission, TaskDemand
from trefoilhook.standins.platform_worker import WorkerFault
from trefoilhook.takeover import decode_head

__all__ = ["check_takeover"]

_SILENCE_S = 3.0
"""Time after which the owner starts nothing on a worker that does not answer, in s."""

_JOB_COUNT = 4
_STEPS = 2 * (TaskDemand(cpu=500, count=1),)
"""Steps of a job; the second one is left to the next owner."""

_MAX_TAKEOVER_S = 7.0
"""Time limit for the jobs after the owner is killed, in s. The owner's lease expires
after 2 s; waiting for the leases on the silent worker would take another 7.4 s."""

_POLL_INTERVAL_S = 0.05


async def check_takeover(fleet: Fleet, clients: Clients, rng: random.Random) -> None:
    """Kill the owner while a worker is silent, and check that other jobs complete.

    Parameters
    ----------
    fleet : Fleet
        System under test, without injected faults.
    clients : Clients
        Clients that submit the jobs and record violations.
    rng : random.Random
        Random number generator for the worker and the job ids.
    """
    silent = fleet.workers[rng.choice(sorted(fleet.workers))].worker
    job_ids = _draw_job_ids_outside(fleet, silent.worker_id, rng)
    silent.fault = WorkerFault.SILENT
    try:
        await trio.sleep(_SILENCE_S)
        submissions = [Submission(job_id=job_id, steps=_STEPS) for job_id in job_ids]
        for submission in submissions:
            await clients.submit(submission)
        await _replace_owner(fleet, clients, submissions)
    finally:
        silent.fault = WorkerFault.NONE
    clients.submission_log.violations.extend(
        f"{submission.job_id} is not completed after a takeover beside the silent "
        f"worker {silent.worker_id}"
        for submission in submissions
        if submission.state != "completed"
    )


async def _replace_owner(
    fleet: Fleet, clients: Clients, submissions: list[Submission]
) -> None:
    """Kill the owner, and wait for the jobs until they are late."""
    owner = await _find_owner(fleet)
    owner.send_signal(signal.SIGKILL)
    with trio.move_on_after(_MAX_TAKEOVER_S):
        for submission in submissions:
            while await clients.poll_state(submission) != "completed":
                await trio.sleep(_POLL_INTERVAL_S)
    owner.start()


async def _find_owner(fleet: Fleet) -> Instance:
    """Wait until an instance has claimed the shard, and return it."""
    while True:
        claim = fleet.store.read(keys.owner_key(keys.SHARD))
        for instance in fleet.instances:
            if claim is not None and claim["holder"].startswith(f"{instance.name}/"):
                return instance
        await trio.sleep(_POLL_INTERVAL_S)


def _draw_job_ids_outside(
    fleet: Fleet, worker_id: str, rng: random.Random
) -> list[str]:
    """Draw ids of jobs whose groups do not contain a worker; none of a single group."""
    head = fleet.store.read(keys.groups_key(keys.SHARD))
    groups = decode_head(json.dumps(head).encode()).groups
    names = [n for n in groups.list_names() if n.split("@")[0] == worker_id]
    job_ids: list[str] = []
    while groups.count > 1 and len(job_ids) < _JOB_COUNT:
        job_id = f"{rng.getrandbits(64):016x}"
        if not any(groups.covers(job_id, name) for name in names):
            job_ids.append(job_id)
    return job_ids
