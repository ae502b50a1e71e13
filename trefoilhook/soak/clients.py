"""Clients that submit, query and cancel jobs, and record the responses."""

import json
import random

import trio

from trefoilhook.clock import Clock
from trefoilhook.exceptions import TransportError
from trefoilhook.http import HttpClient, HttpRequest
from trefoilhook.soak.fleet import Fleet, Instance
from trefoilhook.soak.submissions import (
    Submission,
    SubmissionLog,
    SubmissionOutcome,
    TaskDemand,
)

__all__ = ["Clients"]

_MEAN_PAUSE_S = 0.25
"""Mean pause between two submissions, in s."""

_MAX_ATTEMPTS = 5
_RETRY_DELAY_S = 0.4
_TIMEOUT_MS = 3000.0
"""Request timeout of a client, in ms; the one used in production."""

_CANCEL_PROBABILITY = 0.08
_CRASH_PROBABILITY = 0.05
"""Probability that a job has a task that crashes every worker that starts it."""

_CRASH_DELAY_LOG10_MS = (0.0, 2.4)
"""Range of the delay until such a crash, as decimal logarithms of ms: up to 250 ms,
which is within the run time of a task."""

_STATUS_SUCCESS = range(200, 300)
_STATUS_REJECTED = (429, 503)
_STATUS_GONE = 410
_NO_RESPONSE = 0
_VISIBILITY_TIMEOUT_MS = 3000.0
"""Time after acceptance from which every instance must know a job, in ms."""


class Clients:
    """Sends requests to all instances over persistent connections.

    Parameters
    ----------
    fleet : Fleet
        The system under test.
    clock : Clock
        Source of time.
    rng : random.Random
        Random generator for jobs and requests.
    crash_rng : random.Random
        Random generator for jobs that crash their workers.

    Attributes
    ----------
    submission_log : SubmissionLog
        Submissions and the responses to them.
    """

    def __init__(
        self,
        *,
        fleet: Fleet,
        clock: Clock,
        rng: random.Random,
        crash_rng: random.Random,
    ) -> None:
        self._crash_rng = crash_rng
        self._fleet = fleet
        self._clock = clock
        self._rng = rng
        self._connections: dict[str, HttpClient] = {}
        self.submission_log = SubmissionLog()

    async def run(self, nursery: trio.Nursery, until_ms: float) -> None:
        """Submit jobs until the given time."""
        while self._clock.monotonic_ms() < until_ms:
            nursery.start_soon(self._run_job, self._draw_job())
            await trio.sleep(self._rng.expovariate(1.0 / _MEAN_PAUSE_S))

    def _draw_job(self) -> Submission:
        steps = tuple(
            TaskDemand(
                cpu=self._rng.choice((500, 1000, 2500)),
                count=self._rng.randint(1, 3),
            )
            for _ in range(self._rng.randint(1, 3))
        )
        job_id = f"{self._rng.getrandbits(64):016x}"
        submission = Submission(
            job_id=job_id, steps=steps, crash_ms=self._draw_crash_delay()
        )
        if submission.crash_ms is not None:
            self._fleet.crash_delays_ms[submission.crashing_task] = submission.crash_ms
        return submission

    def _draw_crash_delay(self) -> float | None:
        if self._crash_rng.random() >= _CRASH_PROBABILITY:
            return None
        return float(10.0 ** self._crash_rng.uniform(*_CRASH_DELAY_LOG10_MS))

    async def _run_job(self, submission: Submission) -> None:
        await self.submit(submission)
        if submission.outcome is not SubmissionOutcome.ACCEPTED:
            return
        if self._rng.random() < _CANCEL_PROBABILITY:
            await self._cancel(submission)

    async def submit(self, submission: Submission) -> None:
        """Submit a job to random instances until one accepts it."""
        self.submission_log.submissions[submission.job_id] = submission
        steps = [
            {
                "count": step.count,
                "cpu": step.cpu,
                "estimate_ms": 200,
                **({"after": [number - 1]} if number else {}),
            }
            for number, step in enumerate(submission.steps)
        ]
        body = json.dumps({"spec": "x", "steps": steps}).encode()
        statuses: list[int] = []
        for _ in range(_MAX_ATTEMPTS):
            status, _ = await self._send("POST", submission.job_id, body)
            statuses.append(status)
            if status in _STATUS_SUCCESS:
                submission.outcome = SubmissionOutcome.ACCEPTED
                submission.accepted_ms = self._clock.monotonic_ms()
                return
            await trio.sleep(_RETRY_DELAY_S)
        if all(status in _STATUS_REJECTED for status in statuses):
            submission.outcome = SubmissionOutcome.REJECTED

    async def _cancel(self, submission: Submission) -> None:
        submission.cancel_sent = True
        for _ in range(_MAX_ATTEMPTS):
            status, _ = await self._send("DELETE", submission.job_id)
            if status in _STATUS_SUCCESS or status == _STATUS_GONE:
                return
            await trio.sleep(_RETRY_DELAY_S)

    async def poll_state(self, submission: Submission) -> str:
        """Query the state of a job at a random instance, and record it."""
        status, answer = await self._send("GET", submission.job_id)
        now_ms = self._clock.monotonic_ms()
        accepted_ms = submission.accepted_ms
        if (
            status == _STATUS_GONE
            and accepted_ms
            and now_ms > accepted_ms + _VISIBILITY_TIMEOUT_MS
        ):
            self.submission_log.violations.append(
                f"{submission.job_id} is said to be unknown"
            )
        if status in _STATUS_SUCCESS:
            submission.state = str(json.loads(answer)["state"])
        return submission.state

    async def get_queue_status(self, instance: Instance, prefix: str) -> int:
        """Return the HTTP status of an instance's response for a queue."""
        return (await self._exchange(instance, "GET", prefix))[0]

    async def _send(
        self, method: str, job_id: str, body: bytes = b""
    ) -> tuple[int, bytes]:
        instance = self._rng.choice(self._fleet.instances)
        target = self._fleet.queue_prefixes[0] + job_id
        return await self._exchange(instance, method, target, body)

    async def _exchange(
        self, instance: Instance, method: str, target: str, body: bytes = b""
    ) -> tuple[int, bytes]:
        client = self._connections.get(instance.name)
        if client is None:
            client = HttpClient(host="127.0.0.1", port=instance.port)
            self._connections[instance.name] = client
        request = HttpRequest(
            method=method,
            target=target,
            headers=(("deadline-ms", str(int(_TIMEOUT_MS))),),
            body=body,
        )
        try:
            response = await client.send(request, timeout_ms=_TIMEOUT_MS)
        except TransportError:
            return _NO_RESPONSE, b""
        return response.status, response.body

    async def close(self) -> None:
        """Close the connections."""
        for client in self._connections.values():
            await client.close()
