"""Callbacks that read metric values from an instance's components on collection."""

from collections import Counter

from trefoilhook.configuration import ConfigurationView
from trefoilhook.inner import InnerNode
from trefoilhook.jobs import JobService
from trefoilhook.membership import Membership
from trefoilhook.metrics import Instrument, Metrics
from trefoilhook.requests import RequestService
from trefoilhook.shards import Ownership
from trefoilhook.store import StoreClient

__all__ = [
    "register_configuration_metrics",
    "register_job_metrics",
    "register_membership_metrics",
    "register_request_metrics",
]

#: Values of an instrument by the values of its labels.
LabelledValues = dict[tuple[str, ...], float]


def register_membership_metrics(
    metrics: Metrics,
    *,
    membership: Membership,
    ownership: Ownership,
    inner: InnerNode,
    store: StoreClient,
) -> None:
    """Register the metrics of shards, peers and the store."""

    def count_shards() -> LabelledValues:
        kinds = Counter(shard_id[:3] for shard_id in ownership.list_owned())
        return {(kind,): count for kind, count in kinds.items()}

    def count_peers() -> LabelledValues:
        own = membership.instance_id
        states = Counter(
            inner.peer_state(member.instance_id).value
            for member in membership.members
            if member.instance_id != own
        )
        return {(state,): count for state, count in states.items()}

    metrics.watch(Instrument.SHARDS, count_shards)
    metrics.watch(Instrument.PEERS, count_peers)
    metrics.watch(
        Instrument.STORE_REACHABLE, lambda: {(): float(membership.is_store_reachable)}
    )
    metrics.follow(Instrument.STORE_CALLS, lambda: dict(store.calls))
    metrics.follow(
        Instrument.INNER_BYTES, lambda: {("received",): inner.bytes_received}
    )


def register_request_metrics(metrics: Metrics, requests: RequestService) -> None:
    """Register the metrics of slots and queues of the executors owned here."""

    def count_slots() -> LabelledValues:
        executors = requests.pool.list_executors()
        in_use = sum(e.slots.in_progress + e.slots.unproved for e in executors)
        total = sum(executor.target.slots for executor in executors)
        return {("in use",): in_use, ("free",): max(0, total - in_use)}

    metrics.watch(Instrument.SLOTS, count_slots)
    metrics.watch(
        Instrument.QUEUE_LENGTH, lambda: {(): float(requests.pool.count_waiting())}
    )


def register_job_metrics(metrics: Metrics, jobs: JobService) -> None:
    """Register the metrics of the jobs in the shards owned here."""

    def count_jobs() -> LabelledValues:
        states = Counter(
            job.state.value for book in jobs.list_books() for job in book.jobs.values()
        )
        return {(state,): count for state, count in states.items()}

    metrics.watch(Instrument.JOBS, count_jobs)
    metrics.follow(
        Instrument.TASK_STARTS,
        lambda: {(): sum(book.starts for book in jobs.list_books())},
    )
    metrics.follow(
        Instrument.EVICTIONS,
        lambda: {(): sum(book.evictions for book in jobs.list_books())},
    )


def register_configuration_metrics(metrics: Metrics, view: ConfigurationView) -> None:
    """Register the metric of the configuration revision in force."""
    metrics.watch(Instrument.CONFIG_REVISION, lambda: {(): float(view.revision)})
