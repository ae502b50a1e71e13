"""What a shard's owner does beside its decisions, now and then."""

from trefoilhook.clock import Clock
from trefoilhook.exceptions import StoreError
from trefoilhook.logs import Event, log_event
from trefoilhook.platform import Expectation, KeyValueStore, Put, Transaction
from trefoilhook.runtime import keys
from trefoilhook.runtime.commits import Committer
from trefoilhook.runtime.ownership import Tenure
from trefoilhook.scheduling import Scheduler, encode_interference

__all__ = ["Upkeep"]

_LEARNED_PAUSE_MS = 2000.0
"""Pause between two writes of what was learned, in ms: weights settle in some seconds,
and a write of five images by ten is 6 KB."""

_RETENTION_LEASE_MS = 600_000
"""How long ended jobs stay in the store, in ms: the platform's longest lease, more than
the 120 s for which their state has to be told."""

_RETENTION_RENEW_MS = 240_000.0
"""Pause until a new lease is taken for jobs that end from then on, in ms."""

_FORGET_PAUSE_MS = 60_000.0
"""Pause between two rounds of forgetting ended jobs, in ms; one that ends just after a
round is kept for two. The store tells their state for ten minutes."""


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
    """

    def __init__(
        self,
        *,
        store: KeyValueStore,
        clock: Clock,
        tenure: Tenure,
        scheduler: Scheduler,
        committer: Committer,
    ) -> None:
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
            except StoreError as error:
                log_event(Event.STORE_DOWN, call="learned", error=str(error))

    async def keep_retention(self) -> None:
        """Take leases for ended jobs, each for those that end in a while, for good."""
        while True:
            try:
                lease = await self._store.grant_lease(_RETENTION_LEASE_MS)
                self._committer.set_retention(lease)
                await self._clock.sleep_ms(_RETENTION_RENEW_MS)
            except StoreError as error:
                log_event(Event.STORE_DOWN, call="retention", error=str(error))
                await self._clock.sleep_ms(1000.0)
