"""The table of instruments, from which ``docs/METRICS.md`` is generated.

Attributes must have low cardinality: never the id of a request, job, worker or key.
"""

import enum

import attrs

__all__ = ["Instrument", "Kind", "InstrumentSpec"]


class Kind(enum.Enum):
    """Type of an instrument."""

    COUNTER = "counter"
    HISTOGRAM = "histogram"
    GAUGE = "gauge"


@attrs.frozen(kw_only=True)
class InstrumentSpec:
    """Definition of one instrument.

    Parameters
    ----------
    name : str
        Name, by the OpenTelemetry naming conventions.
    kind : Kind
        Type of the instrument.
    unit : str
        Unit in UCUM notation; ``1`` if dimensionless.
    attributes : tuple of str
        Names of the attributes of every measurement.
    description : str
        Description for operators.
    """

    name: str
    kind: Kind
    unit: str
    attributes: tuple[str, ...]
    description: str


def _build_counter(
    name: str, unit: str, description: str, *attributes: str
) -> InstrumentSpec:
    return InstrumentSpec(
        name=name,
        kind=Kind.COUNTER,
        unit=unit,
        attributes=attributes,
        description=description,
    )


def _build_histogram(name: str, description: str, *attributes: str) -> InstrumentSpec:
    return InstrumentSpec(
        name=name,
        kind=Kind.HISTOGRAM,
        unit="s",
        attributes=attributes,
        description=description,
    )


def _build_gauge(
    name: str, unit: str, description: str, *attributes: str
) -> InstrumentSpec:
    return InstrumentSpec(
        name=name,
        kind=Kind.GAUGE,
        unit=unit,
        attributes=attributes,
        description=description,
    )


class Instrument(enum.Enum):
    """Every instrument of an instance."""

    HTTP_DURATION = _build_histogram(
        "http.server.request.duration",
        "Time from receipt of an HTTP request to its response.",
        "http.route",
        "http.response.status_code",
    )
    HTTP_LOSSES = _build_counter(
        "trefoilhook.http.connections.lost",
        "{connection}",
        "HTTP connections that the instance ended of its own accord.",
        "reason",
    )
    REQUESTS = _build_counter(
        "trefoilhook.requests",
        "{request}",
        "Callers' requests answered, by result code.",
        "result",
    )
    STORE_CALLS = _build_counter(
        "trefoilhook.store.calls",
        "{call}",
        "Calls to the store, by outcome.",
        "operation",
        "outcome",
    )
    INNER_BYTES = _build_counter(
        "trefoilhook.inner.io",
        "By",
        "Bytes sent and received between instances.",
        "direction",
    )
    TASK_STARTS = _build_counter(
        "trefoilhook.task.starts", "{task}", "Start commands of shards owned now."
    )
    EVICTIONS = _build_counter(
        "trefoilhook.evictions", "{task}", "Evict commands of shards owned now."
    )
    JOBS = _build_gauge("trefoilhook.jobs", "{job}", "Jobs of owned shards.", "state")
    QUEUE_LENGTH = _build_gauge(
        "trefoilhook.queue.length", "{request}", "Requests waiting for a slot."
    )
    SLOTS = _build_gauge(
        "trefoilhook.slots", "{slot}", "Slots of owned executors.", "state"
    )
    SHARDS = _build_gauge("trefoilhook.shards", "{shard}", "Shards owned.", "kind")
    PEERS = _build_gauge("trefoilhook.peers", "{instance}", "Known instances.", "state")
    STORE_REACHABLE = _build_gauge(
        "trefoilhook.store.reachable", "1", "1 if the store is reachable, else 0."
    )
    CONFIG_REVISION = _build_gauge(
        "trefoilhook.config.revision", "1", "Revision of configuration in force here."
    )
