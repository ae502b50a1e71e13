"""Tests of reads for clients on virtual time, against a scripted store."""

import unittest
from collections.abc import Callable

import trio
import trio.testing

from trefoilhook.clock import build_system_clock
from trefoilhook.exceptions import (
    StoreError,
    StoreUnavailableError,
    StoreUnsentError,
)
from trefoilhook.runtime.client_calls import REJECTED_RETRY_LIMIT_MS, ClientCalls

_TIME_MS = 2750.0
_TIMEOUT_MS = 1000.0
_OVERDUE_MS = 500.0
_ALLOWANCE_MS = 100.0
"""Time for pauses between attempts, in ms."""


class _Store:
    """A store without probes.

    Each attempt has the next outcome: the time of its answer in ms, or an error. The
    last outcome is repeated.
    """

    def __init__(self, *outcomes: float | StoreError) -> None:
        self._outcomes = list(outcomes)
        self.attempts = 0
        self.closed = 0

    async def close(self) -> None:
        self.closed += 1

    async def wait_for_probe_result(self, limit_ms: float) -> None:
        await trio.lowlevel.checkpoint()

    async def wait_for_retry(self, pause_ms: float, *, limit_ms: float) -> None:
        await trio.sleep(limit_ms / 1000.0)

    async def read(self) -> int:
        self.attempts += 1
        number = self.attempts
        outcome = self._outcomes[0]
        if len(self._outcomes) > 1:
            del self._outcomes[0]
        if isinstance(outcome, StoreError):
            raise outcome
        if outcome > _TIMEOUT_MS:
            await trio.sleep(_TIMEOUT_MS / 1000.0)
            raise StoreUnavailableError("no answer")
        await trio.sleep(outcome / 1000.0)
        return number


def _read(
    store: _Store, *, is_reachable: Callable[[], bool] = lambda: True
) -> tuple[int | StoreError, float]:
    """Return the outcome of a read, and the time that it took in ms."""

    async def main() -> tuple[int | StoreError, float]:
        clock = build_system_clock()
        calls = ClientCalls(store=store, clock=clock, is_reachable=is_reachable)
        began_s = trio.current_time()
        until_ms = clock.monotonic_ms() + _TIME_MS
        outcome: int | StoreError
        try:
            outcome = await calls.read(store.read, until_ms=until_ms)
        except StoreError as error:
            outcome = error
        return outcome, (trio.current_time() - began_s) * 1000.0

    return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0.0))


class ClientReadTest(unittest.TestCase):
    """Outcome, duration and number of attempts of a read."""

    def test_no_second_attempt_on_the_normal_path(self):
        # Guards against more calls to a store that is ninety times slower than usual.
        store = _Store(360.0)
        self.assertEqual(_read(store)[0], 1)
        self.assertEqual((store.attempts, store.closed), (1, 0))

    def test_overdue_read_is_repeated_over_a_new_connection(self):
        # Guards against a client that waits for the timeout of a dead connection.
        store = _Store(5000.0, 4.0)
        outcome, elapsed_ms = _read(store)
        self.assertEqual((outcome, store.closed), (2, 1))
        self.assertLess(elapsed_ms, _OVERDUE_MS + _ALLOWANCE_MS)

    def test_slow_first_answer_is_used(self):
        # Guards against a slow store whose answer is thrown away for a second attempt.
        outcome, elapsed_ms = _read(_Store(900.0, 900.0))
        self.assertEqual(outcome, 1)
        self.assertLess(elapsed_ms, 900.0 + _ALLOWANCE_MS)

    def test_failed_read_is_repeated_while_time_is_left(self):
        # Guards against a refusal after a single failure.
        lost = StoreUnavailableError("lost")
        outcome, elapsed_ms = _read(_Store(lost, lost, lost, 4.0))
        self.assertEqual(outcome, 4)
        self.assertLess(elapsed_ms, 3 * _ALLOWANCE_MS)

    def test_reads_end_with_the_time_of_the_client(self):
        # Guards against a refusal that comes after the client has given up.
        outcome, elapsed_ms = _read(_Store(5000.0))
        self.assertIsInstance(outcome, StoreUnavailableError)
        self.assertLessEqual(elapsed_ms, _TIME_MS + 1.0)

    def test_unavailable_store_ends_the_read(self):
        # Guards against waiting for a store that is known to be unavailable.
        outcome, elapsed_ms = _read(_Store(5000.0), is_reachable=lambda: False)
        self.assertIsInstance(outcome, StoreUnavailableError)
        self.assertLess(elapsed_ms, _TIMEOUT_MS + _ALLOWANCE_MS)

    def test_rejected_reads_are_soon_refused(self):
        # Guards against holding a client that another instance can serve.
        outcome, elapsed_ms = _read(_Store(StoreUnsentError("turned away")))
        self.assertIsInstance(outcome, StoreUnsentError)
        self.assertLess(elapsed_ms, REJECTED_RETRY_LIMIT_MS + _ALLOWANCE_MS)
