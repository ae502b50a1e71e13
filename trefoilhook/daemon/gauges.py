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
        kinds = Counter(shard_id[:3] for shard_id in ownership.list_served())
        return {(kind,): count for kind, count in kinds.items()}

    def count_peers() -> LabelledValues:
        own = membership.instance_id
        states = Counter(
            inner.get_peer_state(member.instance_id).value
            for member in membership.members
            if member.instance_id != own
        )
        return {(state,): count for state, count in states.items()}

    metrics.register_gauge(Instrument.SHARDS, count_shards)
    metrics.register_gauge(Instrument.PEERS, count_peers)
    metrics.register_gauge(
        Instrument.STORE_REACHABLE, lambda: {(): float(membership.is_store_reachable)}
    )
    metrics.register_counter_source(Instrument.STORE_CALLS, lambda: dict(store.calls))
    metrics.register_counter_source(
        Instrument.INNER_BYTES, lambda: {("received",): inner.bytes_received}
    )


def register_request_metrics(metrics: Metrics, requests: RequestService) -> None:
    """Register the metrics of slots and queues of the executors owned here."""

    def count_slots() -> LabelledValues:
        executors = requests.pool.list_executors()
        in_use = sum(e.slots.in_progress + e.slots.unconfirmed for e in executors)
        total = sum(executor.target.slots for executor in executors)
        return {("in use",): in_use, ("free",): max(0, total - in_use)}

    metrics.register_gauge(Instrument.SLOTS, count_slots)
    metrics.register_gauge(
        Instrument.QUEUE_LENGTH, lambda: {(): float(requests.pool.count_waiting())}
    )


def register_job_metrics(metrics: Metrics, jobs: JobService) -> None:
    """Register the metrics of the jobs in the shards owned here."""

    def count_jobs() -> LabelledValues:
        states = Counter(
            job.state.value
            for registry in jobs.list_registries()
            for job in registry.jobs.values()
        )
        return {(state,): count for state, count in states.items()}

    metrics.register_gauge(Instrument.JOBS, count_jobs)
    metrics.register_counter_source(
        Instrument.TASK_STARTS,
        lambda: {(): sum(registry.starts for registry in jobs.list_registries())},
    )
    metrics.register_counter_source(
        Instrument.EVICTIONS,
        lambda: {(): sum(registry.evictions for registry in jobs.list_registries())},
    )


def register_configuration_metrics(metrics: Metrics, view: ConfigurationView) -> None:
    """Register the metric of the configuration revision in force."""
    metrics.register_gauge(
        Instrument.CONFIG_REVISION, lambda: {(): float(view.revision)}
    )
