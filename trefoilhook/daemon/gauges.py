"""What the metrics read of an instance's parts whenever they are collected."""

from collections import Counter

from trefoilhook.configuration import ConfigurationView
from trefoilhook.inner import InnerNode
from trefoilhook.jobs import JobService
from trefoilhook.membership import Membership
from trefoilhook.metrics import Instrument, Metrics
from trefoilhook.requests import RequestService
from trefoilhook.shards import Ownership
from trefoilhook.store import StoreClient

__all__ = ["watch_configuration", "watch_jobs", "watch_membership", "watch_requests"]

Values = dict[tuple[str, ...], float]


def watch_membership(
    metrics: Metrics,
    *,
    membership: Membership,
    ownership: Ownership,
    inner: InnerNode,
    store: StoreClient,
) -> None:
    """Show shards, peers and the store."""

    def count_shards() -> Values:
        kinds = Counter(shard_id[:3] for shard_id in ownership.list_owned())
        return {(kind,): count for kind, count in kinds.items()}

    def count_peers() -> Values:
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


def watch_requests(metrics: Metrics, requests: RequestService) -> None:
    """Show slots and queues of the executors owned here."""

    def count_slots() -> Values:
        owned = requests.pool.list_executors()
        in_use = sum(each.slots.in_progress + each.slots.unproved for each in owned)
        total = sum(each.target.slots for each in owned)
        return {("in use",): in_use, ("free",): max(0, total - in_use)}

    metrics.watch(Instrument.SLOTS, count_slots)
    metrics.watch(
        Instrument.QUEUE_LENGTH, lambda: {(): float(requests.pool.count_waiting())}
    )


def watch_jobs(metrics: Metrics, jobs: JobService) -> None:
    """Show the jobs of the shards owned here."""

    def count_jobs() -> Values:
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


def watch_configuration(metrics: Metrics, view: ConfigurationView) -> None:
    """Show the revision in force here."""
    metrics.watch(Instrument.CONFIG_REVISION, lambda: {(): float(view.revision)})
