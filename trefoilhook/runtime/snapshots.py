"""Learned models that a shard's owner hands to the next one through the store.

They only guide decisions. A lost, late or unreadable snapshot is therefore harmless:
the next owner learns the model again.
"""

from collections.abc import Callable

import attrs

from trefoilhook.runtime import keys
from trefoilhook.scheduling import (
    Scheduler,
    decode_durations,
    decode_interference,
    encode_durations,
    encode_interference,
)

__all__ = ["Snapshot", "build_snapshots"]


@attrs.frozen(kw_only=True)
class Snapshot:
    """A learned model in the store.

    Parameters
    ----------
    key : str
        Its key in the store.
    get_version : callable
        Returns a number that changes with the model.
    encode : callable
        Returns the encoded model.
    restore : callable
        Replaces the model by an encoded one. Raises `DecodeError` if it is invalid.
    """

    key: str
    get_version: Callable[[], int]
    encode: Callable[[], bytes]
    restore: Callable[[bytes], None]


def build_snapshots(scheduler: Scheduler) -> tuple[Snapshot, ...]:
    """Return the snapshots of a shard's learned models."""
    return _build_interference(scheduler), _build_durations(scheduler)


def _build_interference(scheduler: Scheduler) -> Snapshot:
    def restore(data: bytes) -> None:
        scheduler.interference = decode_interference(data)

    return Snapshot(
        key=keys.interference_key(keys.SHARD),
        get_version=lambda: scheduler.interference.steps,
        encode=lambda: encode_interference(scheduler.interference),
        restore=restore,
    )


def _build_durations(scheduler: Scheduler) -> Snapshot:
    def restore(data: bytes) -> None:
        scheduler.durations = decode_durations(data)

    return Snapshot(
        key=keys.durations_key(keys.SHARD),
        get_version=lambda: scheduler.durations.version,
        encode=lambda: encode_durations(scheduler.durations),
        restore=restore,
    )
