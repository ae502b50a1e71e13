"""Pending orders to workers and pending journal records."""

from collections import defaultdict
from collections.abc import Iterable

import attrs

from trefoilhook.jobs.messages import (
    Commit,
    JobRecord,
    Order,
    OrderKind,
    TaskRef,
    TaskUpdate,
)

__all__ = ["Outbox"]


@attrs.define(kw_only=True)
class Outbox:
    """Orders and records waiting to be fetched by the shard's task."""

    _orders: dict[str, list[Order]] = attrs.field(
        factory=lambda: defaultdict(list[Order])
    )
    _commits: list[Commit] = attrs.field(factory=list)
    _uncommitted: set[TaskRef] = attrs.field(factory=set)

    def order(self, kind: OrderKind, ref: TaskRef) -> None:
        """Queue an order without parameters."""
        self.send(Order(kind=kind, ref=ref))

    def send(self, order: Order) -> None:
        """Queue an order."""
        self._orders[order.ref.worker_id].append(order)

    def record(self, record: JobRecord, *orders: Order) -> None:
        """Queue a record, and orders to be sent only after its commit."""
        self._commits.append(Commit(record=record, orders=orders))

    def record_and_acknowledge(self, record: JobRecord, update: TaskUpdate) -> None:
        """Queue the record of a worker's update, acknowledged after the commit.

        The worker discards a result when it is acknowledged. If the acknowledgement
        preceded the commit and the owner failed in between, the result would be lost.
        """
        self._uncommitted.add(update.ref)
        self.record(record, Order(kind=OrderKind.ACKNOWLEDGE, ref=update.ref))

    def is_uncommitted(self, ref: TaskRef) -> bool:
        """Return whether an update of an attempt is applied but not yet committed."""
        return ref in self._uncommitted

    def take_orders(self) -> dict[str, list[Order]]:
        """Return and clear the pending orders, by worker."""
        orders, self._orders = self._orders, defaultdict(list[Order])
        return orders

    def take_commits(self) -> tuple[Commit, ...]:
        """Return and clear the pending commits."""
        commits, self._commits = tuple(self._commits), []
        return commits

    def confirm(self, commits: Iterable[Commit]) -> None:
        """Release the orders that depend on records that are now committed."""
        for commit in commits:
            for order in commit.orders:
                self._uncommitted.discard(order.ref)
                self.send(order)
