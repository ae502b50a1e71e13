"""Check of a takeover while a worker does not answer, after all faults are reverted."""

import json
import random
import signal

import trio

from trefoilhook.runtime import keys
from trefoilhook.soak.clients import Clients
from trefoilhook.soak.fleet import Fleet, Instance
from trefoilhook.soak.submissions import Submission, SubmissionOutcome, TaskDemand
from trefoilhook.standins.platform_worker import WorkerFault
from trefoilhook.takeover import decode_head

__all__ = ["check_takeover"]

_SILENCE_S = 3.0
"""Time after which the owner starts nothing on a worker that does not answer, in s."""

_JOB_COUNT = 4
_STEPS = 2 * (TaskDemand(cpu=500, count=1),)
"""Steps of a job, of which the second one is left to the next owner."""

_MAX_TAKEOVER_S = 7.0
"""Time after the end of an owner in which the jobs must be completed, in s. Its lease
expires after 2 s; the leases on the silent worker would be awaited for 7.4 s more."""

_POLL_INTERVAL_S = 0.05


async def check_takeover(fleet: Fleet, clients: Clients, rng: random.Random) -> None:
    """Kill the owner while a worker is silent, and check that other jobs go on.

    Parameters
    ----------
    fleet : Fleet
        The system under test, without any fault.
    clients : Clients
        Clients that submit the jobs, and record a violation.
    rng : random.Random
        Random generator for the worker and the jobs.
    """
    silent = fleet.workers[rng.choice(sorted(fleet.workers))].worker
    silent.fault = WorkerFault.SILENT
    await trio.sleep(_SILENCE_S)
    owner = await _find_owner(fleet)
    submissions = [
        Submission(job_id=job_id, steps=_STEPS)
        for job_id in _draw_jobs_outside(fleet, silent.worker_id, rng)
    ]
    for submission in submissions:
        await clients.submit(submission)
    owner.send_signal(signal.SIGKILL)
    with trio.move_on_after(_MAX_TAKEOVER_S):
        for submission in submissions:
            while await clients.poll_state(submission) != "completed":
                await trio.sleep(_POLL_INTERVAL_S)
    late = [
        submission.job_id
        for submission in submissions
        if submission.outcome is SubmissionOutcome.ACCEPTED
        and submission.state != "completed"
    ]
    silent.fault = WorkerFault.NONE
    owner.start()
    clients.submission_log.violations.extend(
        f"{job_id} waits for the silent worker {silent.worker_id} after a takeover"
        for job_id in late
    )


async def _find_owner(fleet: Fleet) -> Instance:
    """Return the owner of the shard, which may have to be claimed first."""
    while True:
        claim = fleet.store.read(keys.owner_key(keys.SHARD))
        for instance in fleet.instances:
            if claim is not None and claim["holder"].startswith(f"{instance.name}/"):
                return instance
        await trio.sleep(_POLL_INTERVAL_S)


def _draw_jobs_outside(fleet: Fleet, worker_id: str, rng: random.Random) -> list[str]:
    """Draw the ids of jobs whose group does not contain a worker."""
    head = fleet.store.read(keys.groups_key(keys.SHARD))
    groups = decode_head(json.dumps(head).encode()).groups
    names = [n for n in groups.list_names() if n.split("@")[0] == worker_id]
    job_ids: list[str] = []
    while len(job_ids) < _JOB_COUNT:
        job_id = f"{rng.getrandbits(64):016x}"
        if not any(groups.covers(job_id, name) for name in names):
            job_ids.append(job_id)
    return job_ids
