"""Encoding of queues for the store, and the queues that are known by name.

The newest configuration may lack the queue of a job that was accepted before. Such a
job keeps its queue, also under an owner that never read a configuration with it.
"""

import json
from collections.abc import Collection, Iterable
from typing import Any

import attrs

from trefoilhook.decoding import (
    check_object,
    parse_object,
    read_integer,
    read_list,
    read_number,
    read_object,
    read_string,
)
from trefoilhook.scheduling.models import Advice, Queue

__all__ = ["KnownQueues", "build_queue_table", "decode_queues", "read_queue"]


def build_queue_table(queue: Queue) -> dict[str, Any]:
    """Return a queue as a JSON object."""
    return attrs.asdict(queue, filter=lambda _, value: value is not None)


def read_queue(value: Any) -> Queue:
    """Decode the output of ``build_queue_table``.

    Raises
    ------
    DecodeError
        If the value is not a valid queue.
    """
    table = check_object(value, "queue")
    return Queue(
        name=read_string(table, "name", non_empty=True),
        host=read_string(table, "host"),
        prefix=read_string(table, "prefix"),
        service=read_string(table, "service", non_empty=True),
        priority=read_integer(table, "priority"),
        max_attempts=read_integer(table, "max_attempts", minimum=1),
        stretch=read_number(table, "stretch"),
        objective_ms=read_number(table, "objective_ms"),
        advice=_read_advice(read_object(table, "advice"))
        if "advice" in table
        else None,
    )


def _read_advice(table: dict[str, Any]) -> Advice:
    return Advice(
        decision_ms=read_number(table, "decision_ms"),
        per_worker_ms=read_number(table, "per_worker_ms"),
        valid_ms=read_number(table, "valid_ms"),
    )


@attrs.define(kw_only=True)
class KnownQueues:
    """Latest known values of queues, also of those that were removed.

    Parameters
    ----------
    by_name : dict of str to Queue
        The queues.
    version : int
        Number of changes.
    """

    by_name: dict[str, Queue] = attrs.Factory(dict)
    version: int = 0

    def update(self, queues: Iterable[Queue], *, used: Collection[str]) -> None:
        """Apply the queues of a configuration, and keep earlier ones that are in use.

        Parameters
        ----------
        queues : iterable of Queue
            All queues of the configuration.
        used : collection of str
            Names of the queues of open jobs.
        """
        known = {name: q for name, q in self.by_name.items() if name in used}
        known |= {queue.name: queue for queue in queues}
        if known != self.by_name:
            self.by_name = known
            self.version += 1

    def encode(self) -> bytes:
        """Encode the queues for the next owner."""
        rows = [build_queue_table(queue) for queue in self.by_name.values()]
        return json.dumps({"queues": rows}, separators=(",", ":")).encode()

    def add_earlier(self, earlier: "KnownQueues") -> None:
        """Add what the previous owner knew; queues that are already known stay."""
        self.by_name = earlier.by_name | self.by_name


def decode_queues(data: bytes) -> KnownQueues:
    """Decode the output of ``KnownQueues.encode``.

    Raises
    ------
    DecodeError
        If the data is invalid.
    """
    rows = read_list(parse_object(data), "queues")
    return KnownQueues(by_name={queue.name: queue for queue in map(read_queue, rows)})
