"""Learned models and known queues that an owner hands to the next through the store.

The models only guide decisions. A lost, late or unreadable snapshot is therefore
harmless: the next owner learns the model again. Without the known queues, a job whose
queue was removed has the values of its acceptance.
"""

from collections.abc import Callable

import attrs

from trefoilhook.runtime import keys
from trefoilhook.scheduling import (
    KnownQueues,
    Scheduler,
    decode_durations,
    decode_interference,
    decode_queues,
    encode_durations,
    encode_interference,
    encode_waits,
    restore_waits,
)

__all__ = ["Snapshot", "build_snapshots", "build_waits_snapshot"]


@attrs.frozen(kw_only=True)
class Snapshot:
    """A learned model, or the known queues, in the store.

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
    """Return the snapshots of a shard's owner."""
    return (
        _build_interference(scheduler),
        _build_durations(scheduler),
        _build_queues(scheduler),
        _build_urgent_demands(scheduler),
    )


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


def _build_queues(scheduler: Scheduler) -> Snapshot:
    return Snapshot(
        key=keys.queues_key(keys.SHARD),
        get_version=lambda: hash(frozenset(_select_queues(scheduler).by_name.values())),
        encode=lambda: _select_queues(scheduler).encode(),
        restore=lambda data: scheduler.queues.add_earlier(decode_queues(data)),
    )


def _select_queues(scheduler: Scheduler) -> KnownQueues:
    """Return the queues of open jobs that the jobs' records don't hold as they are.

    All others follow from the records or the configuration; the whole of a large one
    takes a megabyte.
    """
    return KnownQueues(
        by_name={
            state.job.queue: state.queue
            for state in scheduler.jobs.values()
            if state.is_open
            and state.queue is not None
            and state.queue != state.accepted_queue
        }
    )


def _build_urgent_demands(scheduler: Scheduler) -> Snapshot:
    return Snapshot(
        key=keys.urgent_demands_key(keys.SHARD),
        get_version=lambda: scheduler.urgent_demands.version,
        encode=scheduler.urgent_demands.encode,
        restore=scheduler.urgent_demands.restore,
    )


def build_waits_snapshot(
    scheduler: Scheduler, get_now_ms: Callable[[], float]
) -> Snapshot:
    """Return the snapshot of the waiting times, written when an ownership ends.

    Parameters
    ----------
    scheduler : Scheduler
        Scheduler of the shard.
    get_now_ms : callable
        Returns the current time, in ms.
    """
    return Snapshot(
        key=keys.waits_key(keys.SHARD),
        get_version=lambda: scheduler.epoch,
        encode=lambda: encode_waits(scheduler, get_now_ms()),
        restore=lambda data: restore_waits(scheduler, data, get_now_ms()),
    )
