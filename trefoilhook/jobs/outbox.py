"""What is to be told to workers and recorded in the journal."""

from collections import defaultdict
from collections.abc import Iterable

import attrs

from trefoilhook.jobs.messages import (
    Commit,
    JobRecord,
    Order,
    OrderKind,
    TaskNews,
    TaskRef,
)

__all__ = ["Outbox"]


@attrs.define(kw_only=True)
class Outbox:
    """Orders and records that wait to be fetched by the shard's task."""

    _orders: dict[str, list[Order]] = attrs.field(
        factory=lambda: defaultdict(list[Order])
    )
    _commits: list[Commit] = attrs.field(factory=list)
    _unrecorded: set[TaskRef] = attrs.field(factory=set)

    def order(self, kind: OrderKind, ref: TaskRef) -> None:
        """Queue a plain order."""
        self.send(Order(kind=kind, ref=ref))

    def send(self, order: Order) -> None:
        """Queue an order."""
        self._orders[order.ref.worker_id].append(order)

    def record(self, record: JobRecord, *orders: Order) -> None:
        """Queue a record, and orders that are sent only once it is committed."""
        self._commits.append(Commit(record=record, orders=orders))

    def record_and_acknowledge(self, record: JobRecord, news: TaskNews) -> None:
        """Queue a record of a worker's news, acknowledged once it is committed.

        The worker forgets what it told on the acknowledgement. Sent before the commit,
        a result would be gone with an owner that dies in between.
        """
        self._unrecorded.add(news.ref)
        self.record(record, Order(kind=OrderKind.ACKNOWLEDGE, ref=news.ref))

    def is_unrecorded(self, ref: TaskRef) -> bool:
        """Tell whether news of an attempt were taken in and wait for their commit."""
        return ref in self._unrecorded

    def take_orders(self) -> dict[str, list[Order]]:
        """Fetch the orders to be sent, by worker."""
        orders, self._orders = self._orders, defaultdict(list[Order])
        return orders

    def take_commits(self) -> tuple[Commit, ...]:
        """Fetch the records to be committed."""
        commits, self._commits = tuple(self._commits), []
        return commits

    def confirm(self, commits: Iterable[Commit]) -> None:
        """Release the orders that waited for records which are now committed."""
        for commit in commits:
            for order in commit.orders:
                self._unrecorded.discard(order.ref)
                self.send(order)
