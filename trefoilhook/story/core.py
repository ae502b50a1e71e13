"""Merging of log lines into the story of one id.

Lines that name the id are joined by what happened to all jobs meanwhile: changes of
owner, lost workers, a store that was away. Instances' clocks differ a little; lines of
one instance keep their order, and an end that seems to come before its cause is most
often that difference.
"""

import json
from collections import Counter
from collections.abc import Iterable, Iterator, Sequence
from typing import Any

import attrs

__all__ = ["LogLine", "read_lines", "select_story", "tell_story"]

_CONTEXT = frozenset(
    {
        "STARTED",
        "STOPPING",
        "STOPPED",
        "RELOADED",
        "SHARD_CLAIMED",
        "SHARD_LOADED",
        "SHARD_SETTLED",
        "SHARD_RELEASED",
        "SHARD_FENCED",
        "LEASE_LOST",
        "WORKER_LOST",
        "WORKER_BACK",
        "QUEUE_WAITS",
        "STORE_DOWN",
        "STORE_BACK",
        "CONFIG_IN_FORCE",
    }
)
"""Events that concern every job that is open at the time."""

_IDS = ("job", "task", "worker")
_HIDDEN = frozenset({"t", "level", "instance", "event", "event_name"})

_MOST_ALIKE = 3
"""Lines in a row that are alike and shown; the others are counted."""

_DECIDING = ("how", "why", "queue", "outcome")
"""Fields in which lines of one event and instance must agree to be alike: an end that
failed among those that are done is what a story is read for."""


@attrs.frozen(kw_only=True)
class LogLine:
    """One line of a log.

    Parameters
    ----------
    time_s : float
        When it was written, in s since the Unix epoch, by the instance's clock.
    instance : str
        Who wrote it.
    event : str
        Name of the event.
    fields : dict
        Everything else that it tells.
    """

    time_s: float
    instance: str
    event: str
    fields: dict[str, Any]

    def names(self, wanted: str) -> bool:
        """Tell whether the line is about an id: a job, a task of it, or a worker."""
        values = [str(self.fields.get(key, "")) for key in _IDS]
        suspects = self.fields.get("suspects")
        if isinstance(suspects, list):
            values += [
                str(each.get("task", "")) for each in suspects if isinstance(each, dict)
            ]
        return any(
            value == wanted or value.startswith(f"{wanted}.") for value in values
        )


def read_lines(
    source: Iterable[str], *, unread: Counter[str] | None = None
) -> Iterator[LogLine]:
    """Read log lines, without what stands before the first brace; skip all others.

    Parameters
    ----------
    source : iterable of str
        Lines of text.
    unread : Counter of str, optional
        Where the lines that are skipped are counted, by reason.
    """
    skipped: Counter[str] = Counter() if unread is None else unread
    for text in source:
        begin = text.find("{")
        if begin < 0:
            skipped["without an object"] += bool(text.strip())
            continue
        try:
            value = json.loads(text[begin:])
            yield LogLine(
                time_s=float(value["t"]),
                instance=str(value["instance"]),
                event=str(value["event_name"]),
                fields={k: v for k, v in value.items() if k not in _HIDDEN},
            )
        except (json.JSONDecodeError, RecursionError):
            skipped["cut or not JSON"] += 1
        except (ValueError, KeyError, TypeError):
            skipped["without time, instance or event"] += 1


def select_story(lines: Iterable[LogLine], wanted: str) -> list[LogLine]:
    """Keep the lines about an id, and what concerned all jobs between them.

    Of what is told by queue, only that of the queues that lines about the id name. A
    store that was lost before the first of these lines, and not back, is told as well.
    """
    ordered = sorted(lines, key=lambda line: line.time_s)
    own = [line for line in ordered if line.names(wanted)]
    if not own:
        return []
    first, last = own[0].time_s, own[-1].time_s
    queues = {line.fields.get("queue") for line in own} | {None}
    earlier = _list_open_losses(line for line in ordered if line.time_s < first)
    return earlier + [
        line
        for line in ordered
        if line.names(wanted)
        or (
            line.event in _CONTEXT
            and first <= line.time_s <= last
            and line.fields.get("queue") in queues
        )
    ]


def _list_open_losses(ordered: Iterable[LogLine]) -> list[LogLine]:
    """Return each instance's loss of the store that has not ended."""
    losses: dict[str, LogLine] = {}
    for line in ordered:
        if line.event == "STORE_DOWN":
            losses[line.instance] = line
        elif line.event in ("STORE_BACK", "STARTED"):
            losses.pop(line.instance, None)
    return sorted(losses.values(), key=lambda line: line.time_s)


def _tell_line(line: LogLine, began_s: float) -> str:
    details = " ".join(f"{key}={value}" for key, value in line.fields.items())
    offset = line.time_s - began_s
    return f"{offset:9.3f} s  {line.instance}  {line.event}  {details}"


def _describe(line: LogLine) -> tuple[str, ...]:
    """Return what two lines share that are alike."""
    deciding = (str(line.fields.get(name)) for name in _DECIDING)
    return (line.event, line.instance, *deciding)


def tell_story(lines: Sequence[LogLine]) -> list[str]:
    """Write a story, a line an event, with times from its beginning.

    Lines in a row that are alike are counted after the third.
    """
    if not lines:
        return ["no line names this id"]
    told: list[str] = []
    alike = 0
    previous: LogLine | None = None
    for line in lines:
        same = previous is not None and _describe(line) == _describe(previous)
        alike = alike + 1 if same else 0
        if alike < _MOST_ALIKE:
            told.append(_tell_line(line, lines[0].time_s))
        elif alike == _MOST_ALIKE:
            told.append("")
        if alike >= _MOST_ALIKE:
            more = alike - _MOST_ALIKE + 1
            told[-1] = f"{'':11}  {line.instance}  {line.event}  {more} more"
        previous = line
    return told
