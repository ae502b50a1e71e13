"""Clients of a soak: they submit, ask and cancel, and note what they are told."""

import json
import random

import trio

from trefoilhook.clock import Clock
from trefoilhook.exceptions import TransportError
from trefoilhook.http import HttpClient, HttpRequest
from trefoilhook.soak.fleet import Fleet, Instance
from trefoilhook.soak.ledger import Ledger, Submission, SubmissionOutcome, TaskDemand

__all__ = ["Clients"]

_PAUSE_S = 0.25
"""Mean pause between two submissions, in s."""

_TRIES = 5
_RETRY_S = 0.4
_TIMEOUT_MS = 3000.0
"""How long a client waits, in ms, as on the users' sites."""

_CANCELLED_SHARE = 0.08
_CRASHING_SHARE = 0.05
"""Share of the jobs with a task that crashes the workers that start it."""

_ONSET_DECADES = (0.0, 2.4)
"""Range of the time to such a crash, as powers of ten in ms: up to 250 ms, within the
time of a task."""

_ACCEPTED = range(200, 300)
_NOT_RUN = (429, 503)
_GONE = 410
_NO_ANSWER = 0
_VISIBLE_MS = 3000.0
"""From so long after its confirmation a job's state has to be known, in ms."""


class Clients:
    """Sends requests to all instances, over connections that are kept open.

    Parameters
    ----------
    fleet : Fleet
        The system under test.
    clock : Clock
        Where time comes from.
    choices : random.Random
        Where chance comes from.
    culprits : random.Random
        Where chance comes from that makes jobs crash their workers.

    Attributes
    ----------
    ledger : Ledger
        What was sent and told.
    """

    def __init__(
        self,
        *,
        fleet: Fleet,
        clock: Clock,
        choices: random.Random,
        culprits: random.Random,
    ) -> None:
        self._culprits = culprits
        self._fleet = fleet
        self._clock = clock
        self._choices = choices
        self._connections: dict[str, HttpClient] = {}
        self.ledger = Ledger()

    async def run(self, nursery: trio.Nursery, until_ms: float) -> None:
        """Submit jobs until the time is over."""
        while self._clock.monotonic_ms() < until_ms:
            nursery.start_soon(self._live, self._draw_job())
            await trio.sleep(self._choices.expovariate(1.0 / _PAUSE_S))

    def _draw_job(self) -> Submission:
        steps = tuple(
            TaskDemand(
                cpu=self._choices.choice((500, 1000, 2500)),
                count=self._choices.randint(1, 3),
            )
            for _ in range(self._choices.randint(1, 3))
        )
        job_id = f"{self._choices.getrandbits(64):016x}"
        submission = Submission(job_id=job_id, steps=steps, crash_ms=self._draw_crash())
        if submission.crash_ms is not None:
            self._fleet.crashes[submission.culprit] = submission.crash_ms
        self.ledger.submissions[job_id] = submission
        return submission

    def _draw_crash(self) -> float | None:
        if self._culprits.random() >= _CRASHING_SHARE:
            return None
        return float(10.0 ** self._culprits.uniform(*_ONSET_DECADES))

    async def _live(self, submission: Submission) -> None:
        await self._submit(submission)
        if submission.outcome is not SubmissionOutcome.ACCEPTED:
            return
        if self._choices.random() < _CANCELLED_SHARE:
            await self._cancel(submission)

    async def _submit(self, submission: Submission) -> None:
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
        told: list[int] = []
        for _ in range(_TRIES):
            status, _ = await self._send("POST", submission.job_id, body)
            told.append(status)
            if status in _ACCEPTED:
                submission.outcome = SubmissionOutcome.ACCEPTED
                submission.accepted_ms = self._clock.monotonic_ms()
                return
            await trio.sleep(_RETRY_S)
        if all(status in _NOT_RUN for status in told):
            submission.outcome = SubmissionOutcome.REJECTED

    async def _cancel(self, submission: Submission) -> None:
        submission.cancel_sent = True
        for _ in range(_TRIES):
            status, _ = await self._send("DELETE", submission.job_id)
            if status in _ACCEPTED or status == _GONE:
                return
            await trio.sleep(_RETRY_S)

    async def ask(self, submission: Submission) -> str:
        """Ask for a job's state, at any instance, and note it."""
        status, answer = await self._send("GET", submission.job_id)
        now_ms = self._clock.monotonic_ms()
        accepted_ms = submission.accepted_ms
        if status == _GONE and accepted_ms and now_ms > accepted_ms + _VISIBLE_MS:
            self.ledger.violations.append(f"{submission.job_id} is said to be unknown")
        if status in _ACCEPTED:
            submission.state = str(json.loads(answer)["state"])
        return submission.state

    async def count(self, instance: Instance, prefix: str) -> int:
        """Return the status with which an instance answers for a queue."""
        return (await self._exchange(instance, "GET", prefix))[0]

    async def _send(
        self, method: str, job_id: str, body: bytes = b""
    ) -> tuple[int, bytes]:
        instance = self._choices.choice(self._fleet.instances)
        target = self._fleet.prefixes[0] + job_id
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
            return _NO_ANSWER, b""
        return response.status, response.body

    async def close(self) -> None:
        """Close the connections."""
        for client in self._connections.values():
            await client.close()
