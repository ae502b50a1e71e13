"""Shard ownership: at most one instance sends orders, the one with the highest epoch.

The owner's key is attached to a store lease. The epoch key is persistent and increases
with each ownership. The epoch is the fencing token of every order, so an owner that was
suspended or partitioned and has been replaced without noticing is refused by every
worker that the new owner has reached.
"""

import json
import math
import uuid
from collections.abc import Awaitable, Callable, Iterable

import attrs
import trio

from trefoilhook.clock import Clock
from trefoilhook.decoding import (
    MAX_INTEGER,
    parse_object,
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
from trefoilhook.logs import Event, describe_failure, find_cause, log_event
from trefoilhook.platform import (
    Change,
    Item,
    KeyValueStore,
    Listing,
    Precondition,
    PreconditionError,
    Put,
    Transaction,
)
from trefoilhook.runtime import keys
from trefoilhook.runtime.fitness import compute_claim_delay
from trefoilhook.runtime.following import WATCH_WAIT_MS
from trefoilhook.runtime.metrics import ProcessMetrics
from trefoilhook.runtime.rejections import Rejections
from trefoilhook.runtime.revisions import RevisionLog
from trefoilhook.runtime.vacancy import Vacancy

__all__ = ["MIN_UNOWNED_MS", "OWNER_LEASE_MS", "Ownership", "ShardElection"]

OWNER_LEASE_MS = 2000
"""Lease of the owner's key, in ms, after which a dead owner can be replaced. It allows
four renewals, which take 360 ms each if the store is ninety times slower than usual."""

_RENEWAL_PERIOD_MS = 500.0
"""Pause between two lease renewals, in ms."""

MIN_UNOWNED_MS = OWNER_LEASE_MS - _RENEWAL_PERIOD_MS
"""Minimum time without an owner before a claim that follows a killed owner, in ms. An
owner that ends by an error frees its key sooner."""

_RETRY_PAUSE_MS = 200.0
"""Pause after a failed attempt, in ms."""

_MAX_SIGHTINGS = 64
"""Maximum number of seen epochs that are kept. A lease lasts for seconds, and epochs
are claimed at intervals of seconds."""

_CLAIM_BACKOFF_MS = 1500.0
"""Time after the end of an ownership for which the instance makes no claim, in ms. The
cause of the loss, such as a network partition or a slow machine, usually persists."""


@attrs.define(kw_only=True, eq=False)
class Ownership:
    """One ownership of the shard by this instance.

    Parameters
    ----------
    epoch : int
        Fencing token, higher than that of every previous ownership.
    owner_revision : int
        Revision of the owner's key.
    claimed_ms : float
        Monotonic time of the claim, in ms.
    lease : int
        Store lease of the owner's key.
    valid_until_ms : float
        Monotonic time until which the last successful renewal guarantees the lease, in
        ms.
    ended : trio.Event
        Set when the ownership has ended for any reason.
    released : bool
        Whether the instance gave the ownership up voluntarily.
    requested_ms : float
        Monotonic time before the claim was sent, in ms.
    recorded_since : int
        First epoch since which every owner has recorded its starts.
    sightings : dict of int to float
        Epochs that this instance has seen, each with the monotonic time at which it
        first saw it, in ms. The epoch was claimed earlier.
    revisions : RevisionLog
        Times of the changes that this instance saw before the claim.
    """

    epoch: int
    owner_revision: int
    claimed_ms: float
    lease: int
    valid_until_ms: float
    ended: trio.Event = attrs.Factory(trio.Event)
    released: bool = False
    requested_ms: float = attrs.field()
    recorded_since: int = attrs.field()
    sightings: dict[int, float] = attrs.Factory(dict)
    revisions: RevisionLog = attrs.Factory(RevisionLog)

    @requested_ms.default
    def _default_requested_ms(self) -> float:
        return self.claimed_ms

    @recorded_since.default
    def _default_recorded_since(self) -> int:
        return self.epoch

    def note_end(self, epoch: int, ended_ms: float) -> None:
        """Record a time at which a previous epoch had ended, in ms."""
        known_ms = self.sightings.get(epoch + 1, ended_ms)
        self.sightings[epoch + 1] = min(known_ms, ended_ms)

    def find_end(self, epoch: int) -> float:
        """Return a time at which a previous epoch had ended, in ms.

        The wait for its leases that this instance has seen pass under other owners
        counts, so that successive takeovers do not begin it anew.
        """
        seen_ms = [ms for later, ms in self.sightings.items() if later > epoch]
        return min([self.claimed_ms, *seen_ms])


def _read_recorded_since(epoch: Item) -> int | None:
    """Return the first epoch since which starts are recorded, or None if unknown.

    Builds that do not record starts do not write it either.
    """
    try:
        table = parse_object(epoch.value)
        if "recorded_since" not in table:
            return None
        return read_integer(table, "recorded_since", minimum=1)
    except DecodeError:
        # Logged by `_read_epoch`.
        return None


def _read_fitness(epoch: Item) -> float:
    """Return the fitness of the fittest owner so far, or 0 if it is unknown."""
    try:
        return read_number(
            parse_object(epoch.value), "fitness", maximum=1.0, default=0.0
        )
    except DecodeError:
        # Logged by `_read_epoch`. Without a known fitness, this instance doesn't wait.
        return 0.0


class ShardElection:
    """Claims the shard whenever it has no owner, and runs the owner while it holds it.

    Parameters
    ----------
    store : KeyValueStore
        Store of the ownership keys.
    clock : Clock
        Time source.
    name : str
        Name of this instance, for operators.
    run_owner : callable
        Awaited with each ownership. It returns once the ownership has ended. An
        exception ends the ownership, but not the process.
    may_claim : callable
        Returns whether this instance is ready to own the shard.
    rejections : Rejections
        Receives an unreadable epoch.
    metrics : ProcessMetrics
        Counts the owners that end by an exception.
    fitness : float, optional
        Fraction of an owner's resource needs that this instance meets.
    """

    def __init__(
        self,
        *,
        store: KeyValueStore,
        clock: Clock,
        name: str,
        run_owner: Callable[[Ownership], Awaitable[None]],
        may_claim: Callable[[], bool],
        rejections: Rejections,
        metrics: ProcessMetrics,
        fitness: float = 1.0,
    ) -> None:
        self._rejections = rejections
        self._metrics = metrics
        self._fitness = fitness
        self._store = store
        self._clock = clock
        # Unique per process: an earlier process on this machine had the same name.
        self._holder = f"{name}/{uuid.uuid4().hex}"
        self._run_owner = run_owner
        self._may_claim = may_claim
        self._ownership: Ownership | None = None
        self._resigned = False
        self._no_claim_before_ms = 0.0
        self._released_ms = 0.0
        self._stale_lease = 0
        self._sightings: dict[int, float] = {}
        self._revisions = RevisionLog()
        self._vacancy = Vacancy()

    @property
    def is_owner(self) -> bool:
        """Whether this instance owns the shard."""
        return self._ownership is not None

    def resign(self) -> None:
        """Release the shard and make no further claims."""
        self._resigned = True
        if self._ownership is not None:
            self._ownership.released = True
            self._ownership.ended.set()

    async def run(self) -> None:
        """Claim the shard whenever it has no owner, until resigned."""
        while not self._resigned:
            try:
                await self._revoke_stale_lease()
                sent_ms = self._clock.monotonic_ms()
                listing = await self._store.list_items(
                    keys.ownership_prefix(keys.SHARD)
                )
                self._note_revision(sent_ms, listing.as_of)
                await self._claim_when_vacant(listing)
            except StoreError:
                self._revisions.reset()
                await self._store.wait_for_retry(_RETRY_PAUSE_MS)

    async def _claim_when_vacant(self, listing: Listing) -> None:
        owner: Item | None = None
        epoch: Item | None = None
        for item in listing.items:
            owner = item if item.key == keys.owner_key(keys.SHARD) else owner
            epoch = item if item.key == keys.epoch_key(keys.SHARD) else epoch
        self._record_sighting(epoch)
        after = listing.as_of
        self._vacancy.note_listing(
            owner=owner,
            epoch=epoch,
            now_ms=self._clock.monotonic_ms(),
            recovered_ms=self._store.recovered_ms,
        )
        while not self._resigned:
            if not self._may_claim():
                # Fitter instances can't claim yet either.
                self._vacancy.postpone(self._clock.monotonic_ms())
            remaining_ms = self._compute_remaining_delay(epoch)
            if owner is None and remaining_ms <= 0 and self._can_claim():
                await self._claim(epoch)
                return
            wait_ms = WATCH_WAIT_MS
            if owner is None:
                wait_ms = math.ceil(
                    remaining_ms
                    if 0 < remaining_ms < _RETRY_PAUSE_MS
                    else _RETRY_PAUSE_MS
                )
            sent_ms = self._clock.monotonic_ms()
            try:
                batch = await self._store.watch(
                    keys.ownership_prefix(keys.SHARD), after=after, wait_ms=wait_ms
                )
            except HistoryLostError:
                return
            after = batch.as_of
            self._note_revision(sent_ms, after, is_current=not batch.changes)
            owner, epoch = self._apply_changes(batch.changes, owner, epoch)

    def _apply_changes(
        self, changes: Iterable[Change], owner: Item | None, epoch: Item | None
    ) -> tuple[Item | None, Item | None]:
        """Return the owner's key and the epoch key after the changes of a watch."""
        has_owner_changed = False
        for change in changes:
            if change.key == keys.owner_key(keys.SHARD):
                owner = change.item
                has_owner_changed = True
            elif change.key == keys.epoch_key(keys.SHARD):
                epoch = change.item
                self._record_sighting(epoch)
        if has_owner_changed:
            self._vacancy.note_owner(
                owner, epoch=epoch, now_ms=self._clock.monotonic_ms()
            )
        return owner, epoch

    def _note_revision(
        self, sent_ms: float, as_of: int, *, is_current: bool = True
    ) -> None:
        """Record an answer that has just been received."""
        self._revisions.note(
            sent_ms=sent_ms,
            received_ms=self._clock.monotonic_ms(),
            as_of=as_of,
            is_current=is_current,
            failures=self._store.failures,
        )

    def _record_sighting(self, item: Item | None) -> None:
        """Record the time at which this instance first saw an epoch."""
        if item is None:
            return
        try:
            epoch = read_integer(
                parse_object(item.value), "epoch", maximum=item.revision
            )
        except DecodeError:
            # Logged by `_read_epoch` when this instance claims the shard.
            return
        self._sightings.setdefault(epoch, self._clock.monotonic_ms())
        while len(self._sightings) > _MAX_SIGHTINGS:
            del self._sightings[min(self._sightings)]

    def _compute_remaining_delay(self, epoch: Item | None) -> float:
        """Return the remaining time to leave the claim to fitter instances, in ms."""
        # Before the first claim, it is unknown whether a fitter instance exists.
        best = 1.0 if epoch is None else _read_fitness(epoch)
        waited_ms = self._clock.monotonic_ms() - self._vacancy.since_ms
        return compute_claim_delay(self._fitness, best) - waited_ms

    def _can_claim(self) -> bool:
        is_backoff_over = self._clock.monotonic_ms() >= self._no_claim_before_ms
        # The store was unavailable and has recovered. If only this instance had been
        # partitioned from it, another one would own the shard by now.
        is_cause_over = self._store.recovered_ms >= self._released_ms
        return (is_backoff_over or is_cause_over) and self._may_claim()

    async def _claim(self, epoch: Item | None) -> None:
        new_epoch = self._read_epoch(epoch) + 1
        granted_ms = self._clock.monotonic_ms()
        lease = await self._store.grant_lease(OWNER_LEASE_MS)
        best = max(self._fitness, _read_fitness(epoch) if epoch is not None else 0.0)
        recorded_since = _read_recorded_since(epoch) if epoch is not None else None
        recorded_since = recorded_since or new_epoch
        value = json.dumps(
            {
                "holder": self._holder,
                "epoch": new_epoch,
                "fitness": round(best, 3),
                "recorded_since": recorded_since,
            }
        ).encode()
        claim = Transaction(
            preconditions=(
                Precondition(key=keys.owner_key(keys.SHARD), revision=0),
                Precondition(
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
            await self._store.revoke_lease(lease)
            return
        except StoreUnavailableError as error:
            if error.is_proved_unsent:
                raise
            found = await self._find_claim(value)
            if found is None:
                # If the claim takes effect late, it blocks the key at most for the
                # rest of the lease, which is not renewed.
                return
            revision = found
        ownership = Ownership(
            epoch=new_epoch,
            owner_revision=revision,
            claimed_ms=self._clock.monotonic_ms(),
            lease=lease,
            valid_until_ms=granted_ms + OWNER_LEASE_MS,
            requested_ms=granted_ms,
            recorded_since=recorded_since,
            sightings=dict(self._sightings),
            revisions=self._revisions,
        )
        await self._run_ownership(ownership)

    def _read_epoch(self, item: Item | None) -> int:
        """Return an upper bound of the epochs of all previous owners.

        If another writer has overwritten the key, the shard must remain claimable, with
        a token that workers accept. Each claim increases the epoch by one and the
        store's revision by at least one, so no epoch exceeds the revision at which it
        was written, nor any later revision.
        """
        if item is None:
            return 0
        try:
            table = parse_object(item.value)
            number = read_integer(
                table, "epoch", maximum=min(item.revision, MAX_INTEGER)
            )
        except DecodeError as error:
            self._rejections.report(
                Event.ENTRY_INVALID, item.key, str(error), revision=item.revision
            )
            return item.revision
        self._rejections.accept(Event.ENTRY_INVALID, item.key)
        return number

    async def _find_claim(self, value: bytes) -> int | None:
        """Return the revision of an unanswered claim, or None if it had no effect."""
        item = await self._store.get(keys.owner_key(keys.SHARD))
        if item is None or item.value != value:
            return None
        return item.revision

    async def _run_ownership(self, ownership: Ownership) -> None:
        log_event(
            Event.SHARD_CLAIMED,
            epoch=ownership.epoch,
            revision=ownership.owner_revision,
        )
        self._ownership = ownership
        # No other instance can claim until the key of this one is removed.
        self._store.set_frequent_probing(True)
        if self._resigned:
            ownership.ended.set()
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._renew, ownership)
                await self._run_owner(ownership)
                nursery.cancel_scope.cancel()
        except Exception as error:
            # The owner's state may be inconsistent and is discarded with it. The next
            # owner restores it from the store and the workers' answers.
            log_event(
                Event.OWNER_FAILED, epoch=ownership.epoch, **describe_failure(error)
            )
            self._metrics.count("owner_failures", type(find_cause(error)).__name__)
            ownership.ended.set()
        finally:
            self._ownership = None
            self._released_ms = self._clock.monotonic_ms()
            self._no_claim_before_ms = self._released_ms + _CLAIM_BACKOFF_MS
        log_event(
            Event.SHARD_RELEASED, epoch=ownership.epoch, wanted=ownership.released
        )
        self._stale_lease = ownership.lease
        await self._revoke_stale_lease()

    async def _revoke_stale_lease(self) -> None:
        """Revoke the lease of an ownership that has ended.

        The store may suspend leases during an outage. After it, the key of an ownership
        that ended for lack of renewals would block claims for the rest of its lease:
        2 s in which no task can be started.
        """
        if self._stale_lease:
            await self._store.revoke_lease(self._stale_lease)
            self._stale_lease = 0
            self._store.set_frequent_probing(False)

    async def _renew(self, ownership: Ownership) -> None:
        """Renew the lease, and end the ownership once the lease may have expired."""
        while not ownership.ended.is_set():
            remaining_ms = ownership.valid_until_ms - self._clock.monotonic_ms()
            if remaining_ms <= 0:
                log_event(Event.LEASE_LOST, epoch=ownership.epoch, why="not renewed")
                ownership.ended.set()
                return
            sent_ms = self._clock.monotonic_ms()
            try:
                await self._store.renew_lease(ownership.lease)
                ownership.valid_until_ms = sent_ms + OWNER_LEASE_MS
                await self._clock.sleep_ms(_RENEWAL_PERIOD_MS)
            except LeaseLostError:
                log_event(Event.LEASE_LOST, epoch=ownership.epoch, why="gone")
                ownership.ended.set()
            except StoreError:
                await self._clock.sleep_ms(_RETRY_PAUSE_MS)
