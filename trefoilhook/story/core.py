"""Merges log lines into the history of one id.

Lines that mention the id are merged with events that concern all jobs, such as changes
of owner, lost workers and store outages. Lines are sorted by the clocks of the
instances, which differ slightly: an effect that is listed before its cause is most
often due to that difference.
"""

import json
from collections import Counter
from collections.abc import Iterable, Iterator, Sequence
from typing import Any

import attrs

__all__ = ["LogLine", "format_history", "read_lines", "select_history"]

_CONTEXT_EVENTS = frozenset(
    {
        "STARTED",
        "STOPPING",
        "STOPPED",
        "RELOADED",
        "SHARD_CLAIMED",
        "SHARD_LOADED",
        "SHARD_UNSETTLED",
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
"""Events that concern every unfinished job."""

_ID_FIELDS = ("job", "task", "worker", "restart_task", "unknown_task")
_HEADER_FIELDS = frozenset({"t", "level", "instance", "event", "event_name"})

_MAX_SIMILAR = 3
"""Number of consecutive similar lines to show; further ones are only counted."""

_GROUPING_FIELDS = ("how", "why", "queue", "outcome")
"""Fields that must be equal for lines of one event and instance to be similar. They
keep a failed end visible among successful ones."""


@attrs.frozen(kw_only=True)
class LogLine:
    """One log line.

    Parameters
    ----------
    time_s : float
        Time by the instance's clock, in s since the Unix epoch.
    instance : str
        Instance that wrote the line.
    event : str
        Name of the event.
    fields : dict
        Remaining fields, without those listed above and the log level.
    """

    time_s: float
    instance: str
    event: str
    fields: dict[str, Any]

    def mentions(self, wanted_id: str) -> bool:
        """Return whether the line is about an id of a job, a task or a worker.

        A line about a task is also about its job.
        """
        values = [str(self.fields.get(key, "")) for key in _ID_FIELDS]
        suspects = self.fields.get("suspects")
        if isinstance(suspects, list):
            values += [
                str(each.get("task", "")) for each in suspects if isinstance(each, dict)
            ]
        return any(
            value == wanted_id or value.startswith(f"{wanted_id}.") for value in values
        )


def read_lines(
    source: Iterable[str], *, unread: Counter[str] | None = None
) -> Iterator[LogLine]:
    """Parse log lines as JSON from their first brace on; skip invalid ones.

    Parameters
    ----------
    source : iterable of str
        Lines of text.
    unread : Counter of str, optional
        Counts skipped lines by reason.
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
                fields={k: v for k, v in value.items() if k not in _HEADER_FIELDS},
            )
        except (json.JSONDecodeError, RecursionError):
            skipped["cut or not JSON"] += 1
        except (ValueError, KeyError, TypeError):
            skipped["without time, instance or event"] += 1


def select_history(lines: Iterable[LogLine], wanted_id: str) -> list[LogLine]:
    """Select the lines about an id, and the context events between them.

    Context events of a queue are selected only if a line about the id names that queue.
    Store outages that began before the first line about the id and were still open then
    are included as well.
    """
    ordered = sorted(lines, key=lambda line: line.time_s)
    own = [line for line in ordered if line.mentions(wanted_id)]
    if not own:
        return []
    first, last = own[0].time_s, own[-1].time_s
    queues = {line.fields.get("queue") for line in own} | {None}
    earlier = _list_store_outages(line for line in ordered if line.time_s < first)
    return earlier + [
        line
        for line in ordered
        if line.mentions(wanted_id)
        or (
            line.event in _CONTEXT_EVENTS
            and first <= line.time_s <= last
            and line.fields.get("queue") in queues
        )
    ]


def _list_store_outages(ordered: Iterable[LogLine]) -> list[LogLine]:
    """Return the ``STORE_DOWN`` lines of outages that have not ended."""
    losses: dict[str, LogLine] = {}
    for line in ordered:
        if line.event == "STORE_DOWN":
            losses[line.instance] = line
        elif line.event in ("STORE_BACK", "STARTED"):
            losses.pop(line.instance, None)
    return sorted(losses.values(), key=lambda line: line.time_s)


def _format_line(line: LogLine, began_s: float) -> str:
    details = " ".join(f"{key}={value}" for key, value in line.fields.items())
    offset = line.time_s - began_s
    return f"{offset:9.3f} s  {line.instance}  {line.event}  {details}"


def _build_key(line: LogLine) -> tuple[str, ...]:
    """Return a key that is equal for similar lines."""
    values = (str(line.fields.get(name)) for name in _GROUPING_FIELDS)
    return (line.event, line.instance, *values)


def format_history(lines: Sequence[LogLine]) -> list[str]:
    """Format a history, one line per event, with times relative to the first.

    Of more than three consecutive similar lines, the rest is shown as a count.
    """
    if not lines:
        return ["no line names this id"]
    formatted: list[str] = []
    similar = 0
    previous: LogLine | None = None
    for line in lines:
        is_similar = previous is not None and _build_key(line) == _build_key(previous)
        similar = similar + 1 if is_similar else 0
        if similar < _MAX_SIMILAR:
            formatted.append(_format_line(line, lines[0].time_s))
        elif similar == _MAX_SIMILAR:
            formatted.append("")
        if similar >= _MAX_SIMILAR:
            more = similar - _MAX_SIMILAR + 1
            formatted[-1] = f"{'':11}  {line.instance}  {line.event}  {more} more"
        previous = line
    return formatted
