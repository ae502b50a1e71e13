"""Calls to the store for clients, bounded by the time for which each client waits."""

from collections.abc import Awaitable, Callable
from typing import TypeVar

import trio

from trefoilhook.clock import Clock
from trefoilhook.exceptions import (
    StoreError,
    StoreRateError,
    StoreUnavailableError,
)
from trefoilhook.platform import KeyValueStore
from trefoilhook.runtime.second_attempts import read_with_second_attempt

__all__ = ["REJECTED_RETRY_LIMIT_MS", "ClientCalls"]

_Answer = TypeVar("_Answer")

REJECTED_RETRY_LIMIT_MS = 250.0
"""Time for which calls rejected by the store are retried, in ms. After it, the client
is served sooner by another instance, or by the same one a second later."""

_RETRY_PAUSE_MS = 60.0
"""Pause before a call to the store is repeated, in ms."""

_MAX_PROBE_WAIT_MS = 450.0
"""Maximum wait for a probe to show whether the store is unavailable, in ms."""

_RECOVERY_LIMIT_MS = 1000.0
"""Time after the start of a read for which the return of an unavailable store is waited
for, in ms. The store is probed again within 625 ms; a silent one is known after 1 s."""

_READ_OVERDUE_MS = 500.0
"""Time after which a read is also sent over a new connection, in ms. A store ninety
times slower than usual answers in 360 ms."""


class ClientCalls:
    """Makes calls to the store on behalf of clients.

    Parameters
    ----------
    store : KeyValueStore
        Store of the jobs.
    clock : Clock
        Time source.
    is_reachable : callable
        Returns whether the store has answered recently.
    """

    def __init__(
        self,
        *,
        store: KeyValueStore,
        clock: Clock,
        is_reachable: Callable[[], bool],
    ) -> None:
        self._store = store
        self._clock = clock
        self.is_reachable = is_reachable

    def measure_left(self, until_ms: float) -> float:
        """Return the time until ``until_ms``, in ms; 0 if it has passed."""
        return max(0.0, until_ms - self._clock.monotonic_ms())

    async def is_answering(self, until_ms: float) -> bool:
        """Return whether the store is reachable, after a short wait if in doubt."""
        if self.is_reachable():
            limit_ms = min(_MAX_PROBE_WAIT_MS, self.measure_left(until_ms))
            await self._store.wait_for_probe_result(limit_ms)
        return self.is_reachable()

    async def wait_for_retry(self, until_ms: float) -> bool:
        """Wait before a retry; return whether it is in time and the store reachable."""
        if self.measure_left(until_ms) <= _RETRY_PAUSE_MS:
            return False
        await self._clock.sleep_ms(_RETRY_PAUSE_MS)
        await self._store.wait_for_probe_result(self.measure_left(until_ms))
        return self.measure_left(until_ms) > 0 and self.is_reachable()

    async def read(
        self, read: Callable[[], Awaitable[_Answer]], *, until_ms: float
    ) -> _Answer:
        """Read from the store, and repeat a failed read while time is left.

        Parameters
        ----------
        read : callable
            Reads once.
        until_ms : float
            Monotonic time at which the answer is of no more use, in ms.

        Raises
        ------
        StoreError
            If there is no answer in time, or the store is known to be unavailable.
        """
        began_ms = self._clock.monotonic_ms()
        while True:
            try:
                with trio.fail_after(self.measure_left(until_ms) / 1000.0):
                    return await read_with_second_attempt(
                        lambda is_second: read(),
                        connections=self._store,
                        overdue_ms=_READ_OVERDUE_MS,
                        is_final=lambda error: not self.is_reachable(),
                    )
            except trio.TooSlowError as error:
                raise StoreUnavailableError("no answer in time") from error
            except StoreError as error:
                limit_ms = until_ms
                if _is_rejection(error):
                    limit_ms = min(limit_ms, began_ms + REJECTED_RETRY_LIMIT_MS)
                recovery_limit_ms = min(limit_ms, began_ms + _RECOVERY_LIMIT_MS)
                if await self.wait_for_retry(limit_ms):
                    continue
                if not await self._wait_for_recovery(recovery_limit_ms):
                    raise

    async def _wait_for_recovery(self, until_ms: float) -> bool:
        """Wait for an unavailable store; return whether it is back in time."""
        left_ms = self.measure_left(until_ms)
        if left_ms:
            await self._store.wait_for_retry(0.0, limit_ms=left_ms)
        return self.measure_left(until_ms) > 0 and self.is_reachable()


def _is_rejection(error: StoreError) -> bool:
    """Return whether the store has certainly not executed the call."""
    if isinstance(error, StoreUnavailableError):
        return error.is_proved_unsent
    return isinstance(error, StoreRateError)
