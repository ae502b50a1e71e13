"""The table of instruments; ``docs/operating/metrics.md`` is made from it.

Attributes take few values each: never an id of a request, job, worker or key.
"""

import enum

import attrs

__all__ = ["Instrument", "Kind", "Row"]


class Kind(enum.Enum):
    """How an instrument is fed."""

    COUNTER = "counter"
    HISTOGRAM = "histogram"
    GAUGE = "gauge"


@attrs.frozen(kw_only=True)
class Row:
    """One instrument.

    Parameters
    ----------
    name : str
        Name by OpenTelemetry's conventions.
    kind : Kind
        How it is fed.
    unit : str
        Unit in UCUM, ``1`` for none.
    attributes : tuple of str
        Names of the attributes that every measurement carries.
    description : str
        For operators.
    """

    name: str
    kind: Kind
    unit: str
    attributes: tuple[str, ...]
    description: str


def _count(name: str, unit: str, description: str, *attributes: str) -> Row:
    return Row(
        name=name,
        kind=Kind.COUNTER,
        unit=unit,
        attributes=attributes,
        description=description,
    )


def _time(name: str, description: str, *attributes: str) -> Row:
    return Row(
        name=name,
        kind=Kind.HISTOGRAM,
        unit="s",
        attributes=attributes,
        description=description,
    )


def _gauge(name: str, unit: str, description: str, *attributes: str) -> Row:
    return Row(
        name=name,
        kind=Kind.GAUGE,
        unit=unit,
        attributes=attributes,
        description=description,
    )


class Instrument(enum.Enum):
    """Every instrument of an instance."""

    HTTP_DURATION = _time(
        "http.server.request.duration",
        "Time from a whole HTTP request to its answer.",
        "http.route",
        "http.response.status_code",
    )
    REQUESTS = _count(
        "trefoilhook.requests",
        "{request}",
        "Callers' requests answered, by result code.",
        "result",
    )
    STORE_CALLS = _count(
        "trefoilhook.store.calls",
        "{call}",
        "Calls to the store, by outcome.",
        "operation",
        "outcome",
    )
    INNER_BYTES = _count(
        "trefoilhook.inner.io", "By", "Bytes between instances.", "direction"
    )
    TASK_STARTS = _count(
        "trefoilhook.task.starts", "{task}", "Start commands of shards now owned."
    )
    EVICTIONS = _count(
        "trefoilhook.evictions", "{task}", "Evictions ordered in shards now owned."
    )
    JOBS = _gauge("trefoilhook.jobs", "{job}", "Jobs of owned shards.", "state")
    QUEUE_LENGTH = _gauge(
        "trefoilhook.queue.length", "{request}", "Requests that wait for a slot."
    )
    SLOTS = _gauge("trefoilhook.slots", "{slot}", "Slots of owned executors.", "state")
    SHARDS = _gauge("trefoilhook.shards", "{shard}", "Shards owned.", "kind")
    PEERS = _gauge("trefoilhook.peers", "{instance}", "Known instances.", "state")
    STORE_REACHABLE = _gauge(
        "trefoilhook.store.reachable", "1", "1 while the store answers, else 0."
    )
    CONFIG_REVISION = _gauge(
        "trefoilhook.config.revision", "1", "Revision of configuration in force here."
    )
