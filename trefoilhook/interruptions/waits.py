"""What a task waited for under each owner, from log lines."""

from collections.abc import Iterable, Iterator, Mapping, Sequence

import attrs

from trefoilhook.account.sizes import read_number
from trefoilhook.interruptions.core import OwnerWait, Wait
from trefoilhook.interruptions.tenures import Tenure
from trefoilhook.story import LogLine

__all__ = ["list_owner_waits"]

_MS_PER_S = 1000.0


def list_owner_waits(
    tenures: Iterable[Tenure],
    samples: Sequence[LogLine],
    *,
    began_s: float,
    until_s: float,
    start: LogLine | None,
) -> tuple[OwnerWait, ...]:
    """List the owners during an interruption and what the task waited for there.

    Parameters
    ----------
    tenures : iterable of Tenure
        Tenures in order.
    samples : sequence of LogLine
        ``TASK_WAITS`` of the task, in order.
    began_s, until_s : float
        Begin and end of the interruption, in s since the Unix epoch.
    start : LogLine or None
        The ``TASK_STARTED`` that ended it.
    """
    owners = []
    for tenure in tenures:
        first_s = max(began_s, tenure.began_s)
        last_s = min(until_s, tenure.ended_s)
        if last_s <= first_s:
            continue
        own = [
            line
            for line in samples
            if line.fields.get("epoch") == tenure.epoch
            and first_s <= line.time_s <= last_s
        ]
        waits = list(_split(own, first_s, last_s))
        if not waits and start is not None and last_s == until_s:
            waits = _read_start(start, last_s - first_s)
        owners.append(
            OwnerWait(
                epoch=tenure.epoch,
                instance=tenure.instance,
                claimed_s=tenure.began_s,
                duration_s=last_s - first_s,
                waits=tuple(_merge(waits)),
            )
        )
    return tuple(owners)


def _split(samples: Sequence[LogLine], first_s: float, last_s: float) -> Iterator[Wait]:
    """Attribute the time before each sample to it, and the rest to the last one."""
    at_s = first_s
    for number, line in enumerate(samples):
        if number == 0:
            waited_s = read_number(line.fields.get("waited_ms")) / _MS_PER_S
            at_s = max(first_s, line.time_s - waited_s)
        until_s = last_s if number == len(samples) - 1 else line.time_s
        awaits = line.fields.get("awaits")
        yield Wait(
            waits_for=str(line.fields.get("waits_for")),
            awaits=tuple(map(str, awaits)) if isinstance(awaits, list) else (),
            duration_s=until_s - at_s,
        )
        at_s = until_s


def _read_start(start: LogLine, limit_s: float) -> list[Wait]:
    """Return the waits by reason from a start line, or else only the main one."""
    waits_for = start.fields.get("waited_for")
    if not waits_for:
        return []
    waited_s = read_number(start.fields.get("waited_ms")) / _MS_PER_S
    duration_s = min(waited_s, limit_s)
    reasons = start.fields.get("reasons_ms")
    if isinstance(reasons, dict):
        return list(_split_reasons(reasons, duration_s))
    return [Wait(waits_for=str(waits_for), duration_s=duration_s, is_mixed=True)]


def _split_reasons(reasons: Mapping[str, object], limit_s: float) -> Iterator[Wait]:
    """Yield a wait for each reason, up to a total duration.

    The times are those of the step, which may exceed the wait of the task.
    """
    remaining_s = limit_s
    for reason, waited_ms in reasons.items():
        duration_s = min(read_number(waited_ms) / _MS_PER_S, remaining_s)
        remaining_s -= duration_s
        yield Wait(waits_for=reason, duration_s=duration_s)


def _merge(waits: Iterable[Wait]) -> list[Wait]:
    """Join consecutive waits for the same."""
    merged: list[Wait] = []
    for wait in waits:
        last = merged[-1] if merged else None
        if last is None or (last.waits_for, last.awaits) != (
            wait.waits_for,
            wait.awaits,
        ):
            merged.append(wait)
        else:
            total_s = last.duration_s + wait.duration_s
            merged[-1] = attrs.evolve(last, duration_s=total_s)
    return merged
