"""Compare-and-swap that finds out what became of a lost answer."""

import uuid

from trefoilhook.clock import Clock
from trefoilhook.exceptions import StoreRateError, StoreUnavailableError
from trefoilhook.store.client import StoreClient
from trefoilhook.store.core import ConflictError

__all__ = ["build_nonce", "swap_reading_back"]

_FIRST_PAUSE_MS = 25.0
_LONGEST_PAUSE_MS = 1_000.0


def build_nonce() -> str:
    """Return a text that no other write carries, to be put into a value."""
    return uuid.uuid4().hex


async def swap_reading_back(
    client: StoreClient,
    key: str,
    value: bytes,
    *,
    expected_revision: int,
    clock: Clock,
    timeout_ms: float,
    lease_id: str | None = None,
) -> int:
    """Swap, and on a lost answer read back whether the swap took effect.

    Parameters
    ----------
    client : StoreClient
        The store.
    key : str
        Path of the key.
    value : bytes
        The new value. It must hold a nonce of this write (`build_nonce`), so that
        equal bytes at the key prove that they came from it.
    expected_revision : int
        Revision that the key must have; 0 when it must be absent.
    clock : Clock
        Where time comes from.
    timeout_ms : float
        How long to go on finding out, in ms.
    lease_id : str, optional
        Lease that the key is to go with.

    Returns
    -------
    int
        The store revision of the write.

    Raises
    ------
    ConflictError
        If another write came first; this one did not take effect and never will.
    StoreUnavailableError
        If it stays unknown whether the write took effect, or may yet; it is a
        ``StoreUnsentError`` when the write never left.
    StoreRateError
        If the store refused the only attempt; nothing changed.
    LeaseLostError
        If the lease has lapsed.

    Notes
    -----
    The failure guarded against: the store applies a swap and the answer is lost. Sent
    again, the swap meets its own effect and looks like a lost race; its writer would
    report "not done" for what was done. The value's nonce tells the two apart. To
    send it again is safe, since at most one of several swaps that expect the same
    revision can take effect, however late one of them arrives.
    """
    deadline_ms = clock.monotonic_ms() + timeout_ms
    pause_ms = _FIRST_PAUSE_MS
    lost: StoreUnavailableError | None = None
    while True:
        try:
            return await client.swap(
                key, value, expected_revision=expected_revision, lease_id=lease_id
            )
        except ConflictError as conflict:
            return _judge_conflict(conflict, value=value, lost=lost)
        except StoreRateError:
            if lost is None:
                raise
        except StoreUnavailableError as error:
            if error.is_proved_unsent and lost is None:
                raise
            lost = lost or error
        if clock.monotonic_ms() + pause_ms >= deadline_ms:
            raise lost
        await clock.sleep_ms(pause_ms)
        pause_ms = min(2 * pause_ms, _LONGEST_PAUSE_MS)


def _judge_conflict(
    conflict: ConflictError, *, value: bytes, lost: StoreUnavailableError | None
) -> int:
    """Tell an own write from another's; the conflict carries what stands there."""
    current = conflict.current
    if current is not None and current.value == value:
        return current.revision
    if lost is None:
        raise conflict
    # Another's write stands here, but an earlier attempt of ours may have come before
    # it and been written over: only "unknown" is true.
    raise lost
