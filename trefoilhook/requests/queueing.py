"""The bounded queue of requests that wait for a slot of one service."""

from collections import deque

import attrs
import trio

from trefoilhook.exceptions import RequestError
from trefoilhook.requests.owned import OwnedExecutor
from trefoilhook.results import ResultCode

__all__ = ["QueueRefusedError", "RunTime", "ServiceQueue", "Waiter"]

_MEAN_WEIGHT = 0.05
_INITIAL_MEAN_MS = 50.0
_MIN_RETRY_AFTER_MS = 1.0


class QueueRefusedError(RequestError):
    """A request can't start before its deadline.

    Parameters
    ----------
    message : str
        What happened, for people.
    code : ResultCode
        Code of the answer.
    retry_after_ms : float
        When to come back, in ms.
    """

    def __init__(
        self, message: str, *, code: ResultCode, retry_after_ms: float
    ) -> None:
        super().__init__(message, code=code)
        self.retry_after_ms = max(_MIN_RETRY_AFTER_MS, retry_after_ms)


@attrs.define(kw_only=True)
class RunTime:
    """Moving mean of how long a service's requests run."""

    mean_ms: float = _INITIAL_MEAN_MS
    _has_sample: bool = attrs.field(default=False, init=False)

    def add_sample(self, run_ms: float) -> None:
        """Take in one run's time, in ms."""
        weight = _MEAN_WEIGHT if self._has_sample else 1.0
        self.mean_ms += weight * (run_ms - self.mean_ms)
        self._has_sample = True


@attrs.define(kw_only=True, eq=False)
class Waiter:
    """A request that waits for a slot.

    Parameters
    ----------
    deadline_ms : float
        When it is too late to start, on the monotonic clock, in ms.
    executor : OwnedExecutor or None
        The executor whose slot it was given; None until then.
    refusal : ResultCode
        Code of the answer if it is woken without a slot.
    woken : trio.Event
        Set when it was given a slot, or never will be.
    """

    deadline_ms: float
    executor: OwnedExecutor | None = None
    refusal: ResultCode = ResultCode.QUEUE_DEADLINE
    woken: trio.Event = attrs.field(factory=trio.Event)


@attrs.define(kw_only=True, eq=False)
class ServiceQueue:
    """Requests in the order in which they came, each with its deadline.

    Parameters
    ----------
    run_time : RunTime
        How long the service's requests run.
    """

    run_time: RunTime = attrs.field(factory=RunTime)
    _waiters: deque[Waiter] = attrs.field(factory=deque, init=False)

    def __len__(self) -> int:
        return len(self._waiters)

    def estimate_wait_ms(self, *, slots: int) -> float:
        """Return how long a request that came now would wait, in ms.

        Parameters
        ----------
        slots : int
            Slots that serve the queue.
        """
        return (len(self._waiters) + 1) * self.run_time.mean_ms / max(1, slots)

    def enqueue(
        self, *, deadline_ms: float, now_ms: float, slots: int, max_waiting: int
    ) -> Waiter:
        """Put a request in the queue.

        Parameters
        ----------
        deadline_ms : float
            When it is too late to start, in ms.
        now_ms : float
            Time now.
        slots : int
            Slots that serve the queue.
        max_waiting : int
            Most requests that wait.

        Raises
        ------
        QueueRefusedError
            If the queue is full, or the request could not start in time.
        """
        wait_ms = self.estimate_wait_ms(slots=slots)
        if len(self._waiters) >= max_waiting:
            raise QueueRefusedError(
                "the queue is full",
                code=ResultCode.OVERLOADED,
                retry_after_ms=wait_ms,
            )
        # Guards against a queue full of requests that nobody waits for any more: each
        # would hold its caller back until the deadline and then be refused.
        if now_ms + wait_ms > deadline_ms:
            raise QueueRefusedError(
                "it could not start before its deadline",
                code=ResultCode.OVERLOADED,
                retry_after_ms=now_ms + wait_ms - deadline_ms,
            )
        waiter = Waiter(deadline_ms=deadline_ms)
        self._waiters.append(waiter)
        return waiter

    def remove(self, waiter: Waiter) -> None:
        """Take a request out that no longer waits."""
        if waiter in self._waiters:
            self._waiters.remove(waiter)

    def refuse_all(self, code: ResultCode) -> None:
        """Wake every request that waits, without a slot."""
        while self._waiters:
            waiter = self._waiters.popleft()
            waiter.refusal = code
            waiter.woken.set()

    def pop(self, now_ms: float) -> Waiter | None:
        """Return the next request that can still start in time."""
        while self._waiters:
            waiter = self._waiters.popleft()
            if waiter.deadline_ms > now_ms:
                return waiter
            waiter.woken.set()
        return None
