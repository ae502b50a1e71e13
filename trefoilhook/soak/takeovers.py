"""Check of a takeover with a silent worker, after all other faults are reverted."""

import json
import random
import signal

import trio

from trefoilhook.runtime import keys
from trefoilhook.scheduling import get_worker_id
from trefoilhook.soak.clients import Clients
from trefoilhook.soak.fleet import Fleet, Instance
from trefoilhook.soak.submissions import Submission, TaskDemand
from trefoilhook.standins.platform_worker import WorkerFault
from trefoilhook.takeover import decode_head

__all__ = ["check_takeover"]

_SILENCE_S = 3.0
"""Time after which the owner starts nothing on a worker that does not answer, in s."""

_JOB_COUNT = 8
_STEPS = 2 * (TaskDemand(cpu=500, count=1),)
"""Steps of a job; the second one is left to the next owner."""

_MAX_TAKEOVER_S = 7.0
"""Time limit for the jobs after the owner is killed, in s. The owner's lease expires
after 2 s; waiting for the leases on the silent worker would take another 7.4 s."""

_IN_FLIGHT_S = 0.2
"""Time in which the last writes of a killed owner take effect, in s."""

_MAX_END_S = 15.0
"""Time in which all jobs must be completed once the worker answers again, in s."""

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
    silent.fault = WorkerFault.SILENT
    try:
        await trio.sleep(_SILENCE_S)
        submissions = [
            Submission(job_id=f"{rng.getrandbits(64):016x}", steps=_STEPS)
            for _ in range(_JOB_COUNT)
        ]
        for submission in submissions:
            await clients.submit(submission)
        owner = await _find_owner(fleet)
        owner.send_signal(signal.SIGKILL)
        await trio.sleep(_IN_FLIGHT_S)
        judged = _list_outside(fleet, silent.worker_id, submissions)
        await _wait_until_completed(clients, judged, _MAX_TAKEOVER_S)
        owner.start()
    finally:
        silent.fault = WorkerFault.NONE
    for submission in judged:
        if await clients.poll_state(submission) != "completed":
            clients.submission_log.violations.append(
                f"{submission.job_id} is not completed after a takeover beside the "
                f"silent worker {silent.worker_id}"
            )
    await _wait_until_completed(clients, submissions, _MAX_END_S)


async def _wait_until_completed(
    clients: Clients, submissions: list[Submission], limit_s: float
) -> None:
    """Poll jobs until all are completed, or for ``limit_s``, in s."""
    with trio.move_on_after(limit_s):
        for submission in submissions:
            while await clients.poll_state(submission) != "completed":
                await trio.sleep(_POLL_INTERVAL_S)


async def _find_owner(fleet: Fleet) -> Instance:
    """Wait until an instance has claimed the shard, and return it."""
    while True:
        claim = fleet.store.read(keys.owner_key(keys.SHARD))
        for instance in fleet.instances:
            if claim is not None and claim["holder"].startswith(f"{instance.name}/"):
                return instance
        await trio.sleep(_POLL_INTERVAL_S)


def _list_outside(
    fleet: Fleet, worker_id: str, submissions: list[Submission]
) -> list[Submission]:
    """Return the jobs whose groups, as the next owner reads them, lack a worker."""
    value = fleet.store.read(keys.groups_key(keys.SHARD))
    head = decode_head(json.dumps(value).encode())
    return [
        submission
        for submission in submissions
        if not any(
            groups.covers(submission.job_id, name)
            for groups in (head.groups, *head.inherited)
            for name in groups.list_names()
            if get_worker_id(name) == worker_id
        )
    ]
