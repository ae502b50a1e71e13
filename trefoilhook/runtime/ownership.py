"""Ownership of a shard: at most one instance orders, the one with the highest epoch.

The owner's key goes with a store lease; the epoch beside it stays and rises. The epoch
is the fencing token of every order, so that an owner that was frozen or cut off, and
doesn't know that it has been replaced, is refused by every worker that the new owner
has reached.
"""

import json
import math
import uuid
from collections.abc import Awaitable, Callable

import attrs
import trio

from trefoilhook.clock import Clock
from trefoilhook.decoding import (
    MOST_INTEGER,
    parse_table,
    read_integer,
    read_number,
)
from trefoilhook.exceptions import (
    DecodeError,
    HistoryLostError,
    LeaseLostError,
    StoreError,
    StoreUnavailableError,
)
from trefoilhook.logs import Event, log_event
from trefoilhook.platform import (
    Expectation,
    Item,
    KeyValueStore,
    Listing,
    PreconditionError,
    Put,
    Transaction,
)
from trefoilhook.runtime import keys
from trefoilhook.runtime.fitness import compute_deference
from trefoilhook.runtime.following import WATCH_WAIT_MS
from trefoilhook.runtime.rejections import Rejections

__all__ = ["OWNER_LEASE_MS", "Campaign", "Tenure"]

OWNER_LEASE_MS = 2000
"""Lease of the owner's key, in ms: with it a dead owner is replaced. Four renewals fit
in, each of which may take 360 ms while the store is ninety times slower than usual."""

_RENEW_MS = 500.0
"""Pause between two renewals, in ms."""

_PAUSE_MS = 200.0
"""Pause after a try that failed, in ms."""

_REST_MS = 1500.0
"""How long an instance that lost an ownership leaves the next claim to others: what
made it lose it, a cut or a slow machine, most often lasts on."""


@attrs.define(kw_only=True, eq=False)
class Tenure:
    """One ownership of the shard by this instance.

    Parameters
    ----------
    epoch : int
        Its number; higher than that of every earlier one.
    owner_revision : int
        Revision of the owner's key.
    claimed_ms : float
        When it was claimed, in ms.
    lease : int
        Store lease of the owner's key.
    valid_until_ms : float
        Until when the lease is sure to hold, as far as renewals tell, in ms.
    over : trio.Event
        Set once it has ended, for whatever reason.
    released : bool
        Whether it was given up on purpose.
    """

    epoch: int
    owner_revision: int
    claimed_ms: float
    lease: int
    valid_until_ms: float
    over: trio.Event = attrs.Factory(trio.Event)
    released: bool = False


def _read_fitness(epoch: Item) -> float:
    """Return the fitness of the fittest owner so far; 0 where it isn't told."""
    try:
        return read_number(parse_table(epoch.value), "fitness", most=1.0, default=0.0)
    except DecodeError:
        # Logged where the epoch is read; without it this instance just doesn't wait.
        return 0.0


class Campaign:
    """Claims the shard whenever it has no owner, and leads it then.

    Parameters
    ----------
    store : KeyValueStore
        Where ownership is kept.
    clock : Clock
        Where time comes from.
    name : str
        Name of this instance, for people.
    lead : callable
        Awaited with each tenure; works until the tenure is over.
    may_claim : callable
        Tells whether this instance is fit to own a shard.
    rejections : Rejections
        Told of an epoch that can't be read.
    fitness : float, optional
        Share of an owner's needs that this instance can meet.
    """

    def __init__(
        self,
        *,
        store: KeyValueStore,
        clock: Clock,
        name: str,
        lead: Callable[[Tenure], Awaitable[None]],
        may_claim: Callable[[], bool],
        rejections: Rejections,
        fitness: float = 1.0,
    ) -> None:
        self._rejections = rejections
        self._fitness = fitness
        self._store = store
        self._clock = clock
        # The name alone could be that of an earlier process on this machine.
        self._holder = f"{name}/{uuid.uuid4().hex}"
        self._lead = lead
        self._may_claim = may_claim
        self._tenure: Tenure | None = None
        self._resigned = False
        self._rest_until_ms = 0.0
        self._left_lease = 0

    @property
    def is_owner(self) -> bool:
        """Whether this instance owns the shard."""
        return self._tenure is not None

    def resign(self) -> None:
        """Give the shard up, and claim it never again."""
        self._resigned = True
        if self._tenure is not None:
            self._tenure.released = True
            self._tenure.over.set()

    async def run(self) -> None:
        """Watch for the shard to be without an owner, and claim it, for good."""
        while not self._resigned:
            try:
                await self._end_left_lease()
                listing = await self._store.list_items(
                    keys.ownership_prefix(keys.SHARD)
                )
                await self._campaign(listing)
            except StoreError:
                await self._clock.sleep_ms(_PAUSE_MS)

    async def _campaign(self, listing: Listing) -> None:
        owner: Item | None = None
        epoch: Item | None = None
        for item in listing.items:
            owner = item if item.key == keys.owner_key(keys.SHARD) else owner
            epoch = item if item.key == keys.epoch_key(keys.SHARD) else epoch
        after = listing.as_of
        vacant_ms = self._clock.monotonic_ms()
        while not self._resigned:
            left_ms = self._measure_deference(epoch, vacant_ms)
            if owner is None and left_ms <= 0 and self._is_fit():
                await self._claim(epoch)
                return
            wait_ms = WATCH_WAIT_MS
            if owner is None:
                wait_ms = math.ceil(left_ms if 0 < left_ms < _PAUSE_MS else _PAUSE_MS)
            try:
                batch = await self._store.watch(
                    keys.ownership_prefix(keys.SHARD), after=after, wait_ms=wait_ms
                )
            except HistoryLostError:
                return
            after = batch.as_of
            for change in batch.changes:
                if change.key == keys.owner_key(keys.SHARD):
                    owner = change.item
                    vacant_ms = self._clock.monotonic_ms()
                elif change.key == keys.epoch_key(keys.SHARD):
                    epoch = change.item

    def _measure_deference(self, epoch: Item | None, vacant_ms: float) -> float:
        """Return how long a vacant shard is still left to fitter instances, in ms."""
        # Before the first claim nothing tells whether there is a fitter one.
        best = 1.0 if epoch is None else _read_fitness(epoch)
        waited_ms = self._clock.monotonic_ms() - vacant_ms
        return compute_deference(self._fitness, best) - waited_ms

    def _is_fit(self) -> bool:
        rested = self._clock.monotonic_ms() >= self._rest_until_ms
        return rested and self._may_claim()

    async def _claim(self, epoch: Item | None) -> None:
        number = self._read_epoch(epoch) + 1
        granted_ms = self._clock.monotonic_ms()
        lease = await self._store.grant_lease(OWNER_LEASE_MS)
        best = max(self._fitness, _read_fitness(epoch) if epoch is not None else 0.0)
        value = json.dumps(
            {"holder": self._holder, "epoch": number, "fitness": round(best, 3)}
        ).encode()
        claim = Transaction(
            expectations=(
                Expectation(key=keys.owner_key(keys.SHARD), revision=0),
                Expectation(
                    key=keys.epoch_key(keys.SHARD),
                    revision=epoch.revision if epoch is not None else 0,
                ),
            ),
            puts=(
                Put(key=keys.owner_key(keys.SHARD), value=value, lease=lease),
                Put(key=keys.epoch_key(keys.SHARD), value=value),
            ),
        )
        try:
            revision = await self._store.commit(claim)
        except (PreconditionError, LeaseLostError):
            await self._store.end_lease(lease)
            return
        except StoreUnavailableError as error:
            if error.is_proved_unsent:
                raise
            found = await self._find_claim(value)
            if found is None:
                # A late copy of the claim can at worst hold the key for the rest of
                # the lease, which nobody renews.
                return
            revision = found
        tenure = Tenure(
            epoch=number,
            owner_revision=revision,
            claimed_ms=self._clock.monotonic_ms(),
            lease=lease,
            valid_until_ms=granted_ms + OWNER_LEASE_MS,
        )
        await self._serve(tenure)

    def _read_epoch(self, item: Item | None) -> int:
        """Return a number that no earlier owner's epoch is above.

        Guards against a shard that nobody can claim, or that is claimed with a token
        that workers refuse, after another writer wrote the key: each claim raised the
        epoch by one and the store's revision by one at least, so that no epoch is above
        the revision at which it was written, nor above any later one.
        """
        if item is None:
            return 0
        try:
            table = parse_table(item.value)
            number = read_integer(table, "epoch", most=min(item.revision, MOST_INTEGER))
        except DecodeError as error:
            self._rejections.report(
                Event.ENTRY_INVALID, item.key, str(error), revision=item.revision
            )
            return item.revision
        self._rejections.accept(Event.ENTRY_INVALID, item.key)
        return number

    async def _find_claim(self, value: bytes) -> int | None:
        """Look up whether a claim without an answer was carried out."""
        item = await self._store.get(keys.owner_key(keys.SHARD))
        if item is None or item.value != value:
            return None
        return item.revision

    async def _serve(self, tenure: Tenure) -> None:
        log_event(
            Event.SHARD_CLAIMED, epoch=tenure.epoch, revision=tenure.owner_revision
        )
        self._tenure = tenure
        if self._resigned:
            tenure.over.set()
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._renew, tenure)
                await self._lead(tenure)
                nursery.cancel_scope.cancel()
        finally:
            self._tenure = None
            self._rest_until_ms = self._clock.monotonic_ms() + _REST_MS
        log_event(Event.SHARD_RELEASED, epoch=tenure.epoch, wanted=tenure.released)
        self._left_lease = tenure.lease
        await self._end_left_lease()

    async def _end_left_lease(self) -> None:
        """End the lease of a tenure that is over.

        Guards against a shard without an owner after an outage of the store: leases
        may pause meanwhile, and the key of a tenure that ended for lack of renewals
        would keep others out for the rest of its lease, 2 s of no starts for anybody.
        """
        if self._left_lease:
            await self._store.end_lease(self._left_lease)
            self._left_lease = 0

    async def _renew(self, tenure: Tenure) -> None:
        """Renew the lease; end the tenure once it can have run out."""
        while not tenure.over.is_set():
            left_ms = tenure.valid_until_ms - self._clock.monotonic_ms()
            if left_ms <= 0:
                log_event(Event.LEASE_LOST, epoch=tenure.epoch, why="not renewed")
                tenure.over.set()
                return
            sent_ms = self._clock.monotonic_ms()
            try:
                await self._store.keep_lease(tenure.lease)
                tenure.valid_until_ms = sent_ms + OWNER_LEASE_MS
                await self._clock.sleep_ms(_RENEW_MS)
            except LeaseLostError:
                log_event(Event.LEASE_LOST, epoch=tenure.epoch, why="gone")
                tenure.over.set()
            except StoreError:
                await self._clock.sleep_ms(_PAUSE_MS)
