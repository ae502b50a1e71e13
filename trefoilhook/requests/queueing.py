"""Bounded queue of requests that wait for a slot of one service."""

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
    """Raised when a request cannot start before its deadline.

    Parameters
    ----------
    message : str
        Human-readable reason.
    code : ResultCode
        Result code of the answer.
    retry_after_ms : float
        Time after which the caller may retry, in ms.
    """

    def __init__(
        self, message: str, *, code: ResultCode, retry_after_ms: float
    ) -> None:
        super().__init__(message, code=code)
        self.retry_after_ms = max(_MIN_RETRY_AFTER_MS, retry_after_ms)


@attrs.define(kw_only=True)
class RunTime:
    """Exponential moving average of the run time of a service's requests."""

    mean_ms: float = _INITIAL_MEAN_MS
    _has_sample: bool = attrs.field(default=False, init=False)

    def add_sample(self, run_ms: float) -> None:
        """Add the run time of one request, in ms."""
        weight = _MEAN_WEIGHT if self._has_sample else 1.0
        self.mean_ms += weight * (run_ms - self.mean_ms)
        self._has_sample = True


@attrs.define(kw_only=True, eq=False)
class Waiter:
    """A queued request.

    Parameters
    ----------
    deadline_ms : float
        Latest start time on the monotonic clock, in ms.
    executor : OwnedExecutor or None
        Executor whose slot was granted; None until then.
    refusal : ResultCode
        Result code if the request is woken without a slot.
    woken : trio.Event
        Set when a slot is granted or the request is refused.
    """

    deadline_ms: float
    executor: OwnedExecutor | None = None
    refusal: ResultCode = ResultCode.QUEUE_DEADLINE
    woken: trio.Event = attrs.field(factory=trio.Event)


@attrs.define(kw_only=True, eq=False)
class ServiceQueue:
    """First-in, first-out queue of requests with deadlines.

    Parameters
    ----------
    run_time : RunTime
        Average run time of the service's requests.
    """

    run_time: RunTime = attrs.field(factory=RunTime)
    _waiters: deque[Waiter] = attrs.field(factory=deque, init=False)

    def __len__(self) -> int:
        return len(self._waiters)

    def estimate_wait_ms(self, *, slots: int) -> float:
        """Estimate the waiting time of a newly queued request, in ms.

        Parameters
        ----------
        slots : int
            Number of slots that serve the queue.
        """
        return (len(self._waiters) + 1) * self.run_time.mean_ms / max(1, slots)

    def enqueue(
        self, *, deadline_ms: float, now_ms: float, slots: int, max_waiting: int
    ) -> Waiter:
        """Append a request to the queue.

        Parameters
        ----------
        deadline_ms : float
            Latest start time on the monotonic clock, in ms.
        now_ms : float
            Current monotonic time, in ms.
        slots : int
            Number of slots that serve the queue.
        max_waiting : int
            Maximum length of the queue.

        Raises
        ------
        QueueRefusedError
            If the queue is full or the request could not start in time.
        """
        wait_ms = self.estimate_wait_ms(slots=slots)
        if len(self._waiters) >= max_waiting:
            raise QueueRefusedError(
                "the queue of the service is full",
                code=ResultCode.OVERLOADED,
                retry_after_ms=wait_ms,
            )
        # Refuses at once what cannot start in time. Otherwise the queue would fill with
        # requests whose callers wait until the deadline only to be refused.
        if now_ms + wait_ms > deadline_ms:
            raise QueueRefusedError(
                "the request could not start before its deadline",
                code=ResultCode.OVERLOADED,
                retry_after_ms=now_ms + wait_ms - deadline_ms,
            )
        waiter = Waiter(deadline_ms=deadline_ms)
        self._waiters.append(waiter)
        return waiter

    def discard(self, waiter: Waiter) -> None:
        """Remove a request from the queue, if it is still queued."""
        if waiter in self._waiters:
            self._waiters.remove(waiter)

    def refuse_all(self, code: ResultCode) -> None:
        """Refuse all queued requests with the given result code."""
        while self._waiters:
            waiter = self._waiters.popleft()
            waiter.refusal = code
            waiter.woken.set()

    def pop(self, now_ms: float) -> Waiter | None:
        """Remove and return the next request whose deadline has not passed."""
        while self._waiters:
            waiter = self._waiters.popleft()
            if waiter.deadline_ms > now_ms:
                return waiter
            waiter.woken.set()
        return None
