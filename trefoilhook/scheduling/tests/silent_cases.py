"""Shard some of whose workers don't answer."""

from trefoilhook.scheduling import (
    Order,
    OrderOutcome,
    PaceOrder,
    StartOrder,
    extend_lease,
    release_expired,
)
from trefoilhook.scheduling.tests.cases import Shard, list_starts

__all__ = ["LEASE_MS", "SilentShard"]

LEASE_MS = 5200.0
"""Time from the last answer of a worker until its leases have expired, in ms."""


class SilentShard(Shard):
    """Shard whose polls renew leases, and some of whose workers don't answer."""

    def __init__(self, **options) -> None:
        self.silent: set[str] = set()
        super().__init__(**options)

    def darken(self, *worker_ids: str, is_listed: bool = False) -> None:
        """Let workers fall silent right after an answered poll."""
        self.poll_all()
        for worker_id in worker_ids:
            self.silent.add(worker_id)
            self.scheduler.workers[worker_id].listed = is_listed

    def poll(self, worker_id: str) -> None:
        """Poll one worker and renew its leases; a silent one doesn't answer."""
        worker = self.scheduler.workers[worker_id]
        if worker_id in self.silent:
            self.silence(worker_id)
            return
        super().poll(worker_id)
        extend_lease(self.scheduler, worker, self.now_ms)

    def step(self) -> list[Order]:
        """Execute the orders of one plan, unless their workers are silent."""
        return self.step_without_confirmation("")

    def step_without_confirmation(self, job_id: str) -> list[Order]:
        """Do as `step`, but refuse the starts of a job."""
        self.save()
        orders = self.plan()
        for order in orders:
            is_start = isinstance(order, StartOrder)
            if order.worker_id in self.silent:
                outcome = OrderOutcome.NO_ANSWER
            elif is_start and order.task.job_id == job_id:
                outcome = OrderOutcome.REFUSED
            else:
                outcome = OrderOutcome.DONE
                if is_start:
                    self.workers[order.worker_id].run(order)
            if not isinstance(order, PaceOrder):
                self.answer(order, outcome)
        self.advance_time(100.0)
        self.poll_all()
        release_expired(self.scheduler, self.now_ms)
        return orders

    def find_start(self, job_id: str, *, within_ms: float) -> StartOrder:
        """Return the next start of a task of a job."""
        for _ in range(round(within_ms / 100.0)):
            for start in list_starts(self.step()):
                if start.task.job_id == job_id:
                    return start
        raise AssertionError(f"no start of {job_id} within {within_ms} ms")

    def find_queued_start(self, job_id: str, *, within_ms: float) -> StartOrder:
        """Return the next start of a task of a job, which is not sent."""
        for _ in range(round(within_ms / 100.0)):
            self.save()
            for order in list_starts(self.plan()):
                if order.task.job_id == job_id:
                    return order
            self.advance_time(100.0)
            self.poll_all()
            release_expired(self.scheduler, self.now_ms)
        raise AssertionError(f"no start of {job_id} within {within_ms} ms")

    def measure_first_start(self, job_id: str, *, within_ms: float) -> float:
        """Return the time until a task of a job is started, in ms."""
        began_ms = self.now_ms
        self.find_start(job_id, within_ms=within_ms)
        return self.now_ms - began_ms
