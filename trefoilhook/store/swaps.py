"""Compare-and-swap that determines its outcome when the response is lost."""

import uuid

from trefoilhook.clock import Clock
from trefoilhook.exceptions import StoreRateError, StoreUnavailableError
from trefoilhook.store.client import StoreClient
from trefoilhook.store.core import ConflictError

__all__ = ["generate_nonce", "swap_with_read_back"]

_INITIAL_RETRY_DELAY_MS = 25.0
_MAX_RETRY_DELAY_MS = 1_000.0


def generate_nonce() -> str:
    """Return a unique string to include in a value, to identify its write."""
    return uuid.uuid4().hex


async def swap_with_read_back(
    client: StoreClient,
    key: str,
    value: bytes,
    *,
    expected_revision: int,
    clock: Clock,
    timeout_ms: float,
    lease_id: str | None = None,
) -> int:
    """Compare-and-swap; if the response is lost, find out whether it took effect.

    Parameters
    ----------
    client : StoreClient
        Client of the store.
    key : str
        Path of the key.
    value : bytes
        The new value. It must contain a nonce of this write (`generate_nonce`), so that
        equal bytes at the key prove that this write took effect.
    expected_revision : int
        Revision that the key must have; 0 if it must be absent.
    clock : Clock
        Time source.
    timeout_ms : float
        Time after which no further attempt is made, in ms.
    lease_id : str, optional
        Lease to attach the key to.

    Returns
    -------
    int
        The store revision of the write.

    Raises
    ------
    ConflictError
        If another write came first; this one did not take effect and never will.
    StoreUnavailableError
        If it remains unknown whether the write took effect or may still do so; a
        ``StoreUnsentError`` if the write was never sent.
    StoreRateError
        If the store refused the only attempt; nothing has changed.
    LeaseLostError
        If the lease has expired.

    Notes
    -----
    If the store applies a swap and its response is lost, sending the swap again results
    in a conflict with its own effect, and the caller would report a failure for a write
    that succeeded. The nonce in the value distinguishes this from a conflict with
    another write. Sending the swap again is safe, since at most one of several swaps
    that expect the same revision can take effect, however late they arrive.
    """
    deadline_ms = clock.monotonic_ms() + timeout_ms
    delay_ms = _INITIAL_RETRY_DELAY_MS
    lost_error: StoreUnavailableError | None = None
    while True:
        try:
            return await client.swap(
                key, value, expected_revision=expected_revision, lease_id=lease_id
            )
        except ConflictError as conflict:
            return _resolve_conflict(conflict, value=value, lost_error=lost_error)
        except StoreRateError:
            if lost_error is None:
                raise
        except StoreUnavailableError as error:
            if error.is_proved_unsent and lost_error is None:
                raise
            lost_error = lost_error or error
        if clock.monotonic_ms() + delay_ms >= deadline_ms:
            raise lost_error
        await clock.sleep_ms(delay_ms)
        delay_ms = min(2 * delay_ms, _MAX_RETRY_DELAY_MS)


def _resolve_conflict(
    conflict: ConflictError, *, value: bytes, lost_error: StoreUnavailableError | None
) -> int:
    """Return the revision of this write if the conflict is with itself, else raise."""
    current = conflict.current
    if current is not None and current.value == value:
        return current.revision
    if lost_error is None:
        raise conflict
    # The current value is another writer's, but an earlier attempt of this write may
    # have been applied before and overwritten: the outcome is unknown.
    raise lost_error
