"""What a shard's owner does beside its decisions, now and then."""

import attrs

from trefoilhook.clock import Clock
from trefoilhook.exceptions import StoreError
from trefoilhook.logs import Event, log_event
from trefoilhook.platform import Expectation, KeyValueStore, Put, Transaction
from trefoilhook.runtime import keys
from trefoilhook.runtime.commits import Committer
from trefoilhook.runtime.ownership import Tenure
from trefoilhook.scheduling import (
    Scheduler,
    ShortfallCounter,
    TaskState,
    encode_interference,
    measure_backlogs,
    measure_evacuated,
)

__all__ = ["Upkeep"]

_LEARNED_PAUSE_MS = 2000.0
"""Pause between two writes of what was learned, in ms: weights settle in some seconds,
and a write of five images by ten is 6 KB."""

_RETENTION_LEASE_MS = 600_000
"""How long ended jobs stay in the store, in ms: the platform's longest lease."""

_RETENTION_MARGIN_MS = 120_000.0
"""How much longer than needed an ended job's state is kept at least, in ms."""

_LEAST_RENEW_MS = 30_000.0
"""Least pause until a new lease is taken for jobs that end from then on, in ms: leases
count as calls, and each job's end goes with the newest."""

_FORGET_PAUSE_MS = 60_000.0
"""Pause between two rounds of forgetting ended jobs, in ms; one that ends just after a
round is kept for two. The store tells their state for ten minutes."""

_SHORTFALL_PAUSE_MS = 500.0
_SHORTFALL_SAMPLES = 4
"""Samples of long-running jobs that go into one line, and the pause between two, in ms:
their tail latencies are figures of the last half second."""

_EVACUATED_PAUSE_MS = 2000.0
"""Interval between log lines on the tasks left in an evacuated failure domain, in ms:
tasks take seconds to minutes to end."""

_BACKLOG_PAUSE_MS = 2000.0
"""Pause between two looks at what waits, in ms; what stands in both has waited so long.
A line a queue each time is a hundredth of what an owner writes about tasks."""


class Upkeep:
    """Repeated work of an owner, each part a task of its own.

    Parameters
    ----------
    store : KeyValueStore
        Where things are written.
    clock : Clock
        Where time comes from.
    tenure : Tenure
        The ownership.
    scheduler : Scheduler
        The shard's state.
    committer : Committer
        Told of the lease for ended jobs.
    status_ms : float
        How long the state of an ended job must be told, in ms.
    """

    def __init__(
        self,
        *,
        store: KeyValueStore,
        clock: Clock,
        tenure: Tenure,
        scheduler: Scheduler,
        committer: Committer,
        status_ms: float,
    ) -> None:
        self._status_ms = status_ms
        self._store = store
        self._clock = clock
        self._tenure = tenure
        self._scheduler = scheduler
        self._committer = committer

    async def forget_ended(self) -> None:
        """Forget ended jobs, for good."""
        while True:
            await self._clock.sleep_ms(_FORGET_PAUSE_MS)
            self._scheduler.forget_ended()

    async def tell_backlogs(self) -> None:
        """Log what waits for a worker, for good.

        A task that waits has no line of its own: without this one, logs don't tell a
        lack of room from a worker that is avoided.
        """
        earlier: set[TaskState] = set()
        while True:
            await self._clock.sleep_ms(_BACKLOG_PAUSE_MS)
            waiting = self._scheduler.waiting
            for backlog in measure_backlogs(
                self._scheduler,
                waiting & earlier,
                now_ms=self._clock.monotonic_ms(),
                wall_ms=self._clock.wall_ms(),
            ):
                log_event(Event.QUEUE_WAITS, **attrs.asdict(backlog))
            earlier = set(waiting)

    async def tell_shortfalls(self) -> None:
        """Log what long-running jobs lack, for good.

        Their users lose by the share of their tasks that is away or too late, of which
        no line on a single task tells.
        """
        counter = ShortfallCounter()
        while True:
            for _ in range(_SHORTFALL_SAMPLES):
                await self._clock.sleep_ms(_SHORTFALL_PAUSE_MS)
                counter.sample(self._scheduler)
            for shortfall in counter.take(self._scheduler):
                log_event(Event.SERVICE_SHORT, **attrs.asdict(shortfall))

    async def tell_evacuations(self) -> None:
        """Periodically log the tasks that still run in evacuated failure domains.

        Operators use it to see when a failure domain can be switched off.
        """
        while True:
            await self._clock.sleep_ms(_EVACUATED_PAUSE_MS)
            for evacuated in measure_evacuated(
                self._scheduler, self._clock.monotonic_ms()
            ):
                log_event(Event.EVACUATION_LEFT, **attrs.asdict(evacuated))

    async def keep_learned(self) -> None:
        """Write what was learned, so that the next owner needn't learn it again.

        It only guides choices: a lost or late write does no harm.
        """
        owner = keys.owner_key(keys.SHARD)
        written = 0
        while True:
            await self._clock.sleep_ms(_LEARNED_PAUSE_MS)
            interference = self._scheduler.interference
            if interference.steps == written:
                continue
            written = interference.steps
            put = Put(
                key=keys.learned_key(keys.SHARD),
                value=encode_interference(interference),
            )
            expected = Expectation(key=owner, revision=self._tenure.owner_revision)
            try:
                await self._store.commit(
                    Transaction(expectations=(expected,), puts=(put,))
                )
            except StoreError:
                # Written again with what is learned next, here or by a later owner.
                continue

    async def keep_retention(self) -> None:
        """Take leases for ended jobs, each for those that end in a while, for good.

        Where their state has to be told for longer than any lease, they are kept.
        """
        pause_ms = _RETENTION_LEASE_MS - self._status_ms - _RETENTION_MARGIN_MS
        if pause_ms < _LEAST_RENEW_MS:
            return
        while True:
            try:
                lease = await self._store.grant_lease(_RETENTION_LEASE_MS)
                self._committer.set_retention(lease)
                await self._clock.sleep_ms(pause_ms)
            except StoreError:
                await self._clock.sleep_ms(1000.0)
