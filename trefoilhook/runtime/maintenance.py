"""Periodic maintenance by a shard's owner."""

from collections.abc import Iterator, Sequence

import attrs

from trefoilhook.clock import Clock
from trefoilhook.exceptions import StoreError
from trefoilhook.logs import Event, log_event
from trefoilhook.platform import KeyValueStore, Precondition, Put, Transaction
from trefoilhook.runtime import keys
from trefoilhook.runtime.commits import Committer
from trefoilhook.runtime.ownership import Ownership
from trefoilhook.runtime.snapshots import Snapshot
from trefoilhook.scheduling import (
    IdleJob,
    Scheduler,
    ShortfallCounter,
    TaskState,
    list_long_waits,
    measure_backlogs,
    measure_evacuated,
    select_longest,
)

__all__ = ["Maintenance"]

_SNAPSHOT_PERIOD_MS = 2000.0
"""Pause between two writes of the learned models, in ms. Interference weights converge
within seconds, and a write of them takes 6 KB for five images by ten."""

_RETENTION_LEASE_MS = 600_000
"""Time for which ended jobs stay in the store, in ms: the platform's longest lease."""

_RETENTION_MARGIN_MS = 120_000.0
"""Minimum time for which an ended job is kept beyond the required time, in ms."""

_MIN_RETENTION_RENEWAL_MS = 30_000.0
"""Minimum pause between two leases for ended jobs, in ms. A job's end is attached to
the newest lease, and each grant counts towards the store's rate limit."""

_ENDED_REMOVAL_PERIOD_MS = 60_000.0
"""Pause between two removals of ended jobs from memory, in ms. A job is kept for one to
two periods; its state remains in the store for ten minutes."""

_SHORTFALL_SAMPLE_PERIOD_MS = 500.0
_SAMPLES_PER_SHORTFALL_LINE = 4
"""Number of samples of long-running jobs per log line. They are taken every 500 ms, as
the reported tail latencies cover the last half second."""

_EVACUATION_LOG_PERIOD_MS = 2000.0
"""Interval between log lines on the tasks left in an evacuated failure domain, in ms:
tasks take seconds to minutes to end."""

_BACKLOG_LOG_PERIOD_MS = 2000.0
"""Interval between two log lines on a queue's waiting tasks, in ms. A task is reported
if it waits at two successive checks. The lines are about 1 % of an owner's task
lines."""

_MIN_LOGGED_WAIT_MS = 1000.0
_WAIT_LOG_PERIOD_MS = 1000.0
_MAX_LOGGED_WAITS = 12
"""Minimum wait of a task or an idle job that is logged, interval between the lines, and
maximum number of lines of an event per interval. A takeover may hold hundreds of tasks.
"""


class Maintenance:
    """Periodic tasks of a shard's owner.

    Parameters
    ----------
    store : KeyValueStore
        Store to write to.
    clock : Clock
        Time source.
    ownership : Ownership
        Ownership under which the store is written.
    scheduler : Scheduler
        State of the shard.
    committer : Committer
        Receives the lease for ended jobs.
    snapshots : tuple of Snapshot
        Learned models to save.
    status_ms : float
        Time for which the state of an ended job must remain readable, in ms.
    """

    def __init__(
        self,
        *,
        store: KeyValueStore,
        clock: Clock,
        ownership: Ownership,
        scheduler: Scheduler,
        committer: Committer,
        snapshots: tuple[Snapshot, ...],
        status_ms: float,
    ) -> None:
        self._snapshots = snapshots
        self._status_ms = status_ms
        self._store = store
        self._clock = clock
        self._ownership = ownership
        self._scheduler = scheduler
        self._committer = committer

    async def remove_ended_jobs(self) -> None:
        """Periodically remove ended jobs from the scheduler's memory."""
        while True:
            await self._clock.sleep_ms(_ENDED_REMOVAL_PERIOD_MS)
            self._scheduler.remove_ended_jobs()

    async def log_backlogs(self) -> None:
        """Periodically log the tasks that wait for a worker.

        Waiting tasks cause no log lines of their own. These lines distinguish a lack of
        capacity from workers that are excluded from placement.
        """
        earlier: set[TaskState] = set()
        while True:
            await self._clock.sleep_ms(_BACKLOG_LOG_PERIOD_MS)
            waiting = self._scheduler.waiting
            for backlog in measure_backlogs(
                self._scheduler,
                waiting & earlier,
                now_ms=self._clock.monotonic_ms(),
                wall_ms=self._clock.wall_ms(),
            ):
                log_event(Event.QUEUE_WAITS, **attrs.asdict(backlog))
            earlier = set(waiting)

    async def log_long_waits(self) -> None:
        """Periodically log the tasks that have waited for over a second.

        A line names the owner's epoch, what it knows of the task's last attempt and its
        worker, and the rule that prevents the start.
        """
        while True:
            await self._clock.sleep_ms(_WAIT_LOG_PERIOD_MS)
            waits = list(
                list_long_waits(
                    self._scheduler,
                    min_wait_ms=_MIN_LOGGED_WAIT_MS,
                    now_ms=self._clock.monotonic_ms(),
                )
            )
            unlogged = max(0, len(waits) - _MAX_LOGGED_WAITS)
            for wait in waits[:_MAX_LOGGED_WAITS]:
                log_event(
                    Event.TASK_WAITS,
                    epoch=self._ownership.epoch,
                    **attrs.asdict(wait),
                    **({"unlogged_steps": unlogged} if unlogged else {}),
                )

    async def log_idle_jobs(self) -> None:
        """Periodically log the batch jobs of which nothing has run for over a second.

        Another line tells for how long nothing of a job has run in all, once it runs
        again or no task of it is due any more.
        """
        while True:
            await self._clock.sleep_ms(_WAIT_LOG_PERIOD_MS)
            tracker = self._scheduler.waits.idle_jobs
            now_ms = self._clock.monotonic_ms()
            ended, dropped = tracker.take_ended(now_ms)
            for job, unlogged in _limit(ended, dropped):
                log_event(
                    Event.JOB_IDLE_ENDED,
                    epoch=self._ownership.epoch,
                    **attrs.asdict(job),
                    **unlogged,
                )
            idle = tracker.list_jobs(min_idle_ms=_MIN_LOGGED_WAIT_MS, now_ms=now_ms)
            for job, unlogged in _limit(idle):
                log_event(
                    Event.JOB_IDLE,
                    epoch=self._ownership.epoch,
                    **attrs.asdict(job),
                    **unlogged,
                )

    async def log_shortfalls(self) -> None:
        """Periodically log missing or slow tasks of long-running jobs.

        The users of such a job are affected by the fraction of its tasks that are
        missing or over their latency limit, which no line on a single task shows.
        """
        counter = ShortfallCounter()
        while True:
            for _ in range(_SAMPLES_PER_SHORTFALL_LINE):
                await self._clock.sleep_ms(_SHORTFALL_SAMPLE_PERIOD_MS)
                counter.sample(self._scheduler)
            for shortfall in counter.collect(
                self._scheduler, now_ms=self._clock.monotonic_ms()
            ):
                log_event(Event.SERVICE_SHORT, **attrs.asdict(shortfall))

    async def log_evacuations(self) -> None:
        """Periodically log the tasks that still run in evacuated failure domains.

        Operators use it to see when a failure domain can be switched off.
        """
        while True:
            await self._clock.sleep_ms(_EVACUATION_LOG_PERIOD_MS)
            for evacuated in measure_evacuated(
                self._scheduler, self._clock.monotonic_ms()
            ):
                log_event(Event.EVACUATION_LEFT, **attrs.asdict(evacuated))

    async def save_snapshots(self) -> None:
        """Periodically save the changed learned models for the next owner."""
        owner = keys.owner_key(keys.SHARD)
        saved: dict[str, int] = {}
        while True:
            await self._clock.sleep_ms(_SNAPSHOT_PERIOD_MS)
            versions = {each.key: each.get_version() for each in self._snapshots}
            changed = [
                each
                for each in self._snapshots
                if versions[each.key] != saved.get(each.key, 0)
            ]
            if not changed:
                continue
            expected = Precondition(key=owner, revision=self._ownership.owner_revision)
            puts = tuple(Put(key=each.key, value=each.encode()) for each in changed)
            try:
                await self._store.commit(
                    Transaction(preconditions=(expected,), puts=puts)
                )
            except StoreError:
                # Written again after the pause: some of them change rarely.
                continue
            saved = versions

    async def renew_retention_lease(self) -> None:
        """Periodically take a new lease for the jobs that end from then on.

        If ended jobs must remain readable for longer than the longest lease allows,
        their records are kept without a lease.
        """
        pause_ms = _RETENTION_LEASE_MS - self._status_ms - _RETENTION_MARGIN_MS
        if pause_ms < _MIN_RETENTION_RENEWAL_MS:
            return
        while True:
            try:
                lease = await self._store.grant_lease(_RETENTION_LEASE_MS)
                self._committer.set_retention(lease)
                await self._clock.sleep_ms(pause_ms)
            except StoreError:
                await self._clock.sleep_ms(1000.0)


def _limit(
    jobs: Sequence[IdleJob], dropped: int = 0
) -> Iterator[tuple[IdleJob, dict[str, int]]]:
    """Yield the jobs to log, each with the number of those left out, if any."""
    selected = select_longest(jobs, _MAX_LOGGED_WAITS)
    unlogged = len(jobs) - len(selected) + dropped
    for job in selected:
        yield job, {"unlogged_jobs": unlogged} if unlogged else {}
