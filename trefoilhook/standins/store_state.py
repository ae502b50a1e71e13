"""State of a simulated store, without any input or output."""

from collections import Counter, deque
from collections.abc import Callable

import attrs

from trefoilhook.standins.core import RefusalError
from trefoilhook.store import (
    MAX_VALUE_BYTES,
    DeletedKey,
    Lease,
    StoreEntry,
    StorePage,
    SwapRequest,
    WatchBatch,
)

__all__ = ["StoreSettings", "StoreState"]

_MS_PER_S = 1000.0
_MAX_PAGE_ENTRIES = 1_000
_MAX_PAGE_BYTES = 4_194_304


@attrs.frozen(kw_only=True)
class StoreSettings:
    """Limits of a store.

    Parameters
    ----------
    writes_per_s : float, optional
        Allowed swaps and lease calls per second.
    reads_per_s : float, optional
        Allowed gets, lists and watches per second.
    history_events : int, optional
        Number of changes retained for watches.
    """

    writes_per_s: float = 400.0
    reads_per_s: float = 2_000.0
    history_events: int = 10_000


@attrs.define(kw_only=True)
class _Bucket:
    """Token bucket with a capacity of one second's tokens."""

    rate_per_s: float
    tokens: float
    filled_at_ms: float

    def take(self, now_ms: float) -> bool:
        gained = (now_ms - self.filled_at_ms) * self.rate_per_s / _MS_PER_S
        self.tokens = min(self.rate_per_s, self.tokens + gained)
        self.filled_at_ms = now_ms
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


@attrs.define(kw_only=True)
class _HeldLease:
    ttl_ms: float
    expires_at_ms: float
    keys: set[str] = attrs.field(factory=set)


@attrs.frozen(kw_only=True)
class _Change:
    key: str
    revision: int


@attrs.frozen(kw_only=True)
class _Conflict:
    current: StoreEntry | None
    revision: int


class StoreState:
    """Keys, leases, history and call counts of a store.

    Parameters
    ----------
    settings : StoreSettings
        Limits of the store.
    monotonic_ms : callable
        Returns the store's time, in ms.
    """

    def __init__(
        self, *, settings: StoreSettings, monotonic_ms: Callable[[], float]
    ) -> None:
        self._settings = settings
        self._now_ms = monotonic_ms
        self._entries: dict[str, StoreEntry] = {}
        self._leases: dict[str, _HeldLease] = {}
        self._history: deque[_Change] = deque()
        self._compacted_revision = 0
        self._lease_count = 0
        self._writes = self._build_bucket(settings.writes_per_s)
        self._reads = self._build_bucket(settings.reads_per_s)
        self.revision = 0
        self.calls: Counter[str] = Counter()
        self.refused_calls = 0

    def _build_bucket(self, rate_per_s: float) -> _Bucket:
        return _Bucket(
            rate_per_s=rate_per_s, tokens=rate_per_s, filled_at_ms=self._now_ms()
        )

    def count_call(self, kind: str, *, is_write: bool) -> None:
        """Count a call against the rate limit.

        Raises
        ------
        RefusalError
            If the call exceeds the rate limit.
        """
        self.calls[kind] += 1
        bucket = self._writes if is_write else self._reads
        if not bucket.take(self._now_ms()):
            self.refused_calls += 1
            raise RefusalError(status=429, error="rate_exceeded")

    def expire_leases(self) -> None:
        """Delete expired leases and their keys."""
        now_ms = self._now_ms()
        expired = [
            lease_id
            for lease_id, lease in self._leases.items()
            if lease.expires_at_ms <= now_ms
        ]
        for lease_id in expired:
            self._drop_lease(lease_id)

    def find_next_expiry_ms(self) -> float | None:
        """Return the time of the next lease expiry, in ms; None without a lease."""
        return min(
            (lease.expires_at_ms for lease in self._leases.values()), default=None
        )

    def get(self, key: str) -> StoreEntry | None:
        """Return the entry at ``key``."""
        return self._entries.get(key)

    def list_entries(self, prefix: str, *, after_key: str, limit: int) -> StorePage:
        """Return a page of entries in key order."""
        keys = sorted(
            key for key in self._entries if key.startswith(prefix) and key > after_key
        )
        limit = max(1, min(limit, _MAX_PAGE_ENTRIES))
        chosen: list[StoreEntry] = []
        size = 0
        for key in keys:
            size += len(self._entries[key].value)
            if len(chosen) == limit or (chosen and size > _MAX_PAGE_BYTES):
                break
            chosen.append(self._entries[key])
        next_key = chosen[-1].key if len(chosen) < len(keys) else None
        return StorePage(
            entries=tuple(chosen), revision=self.revision, next_key=next_key
        )

    def swap(self, request: SwapRequest) -> int:
        """Change a key if it has the expected revision; return the store's revision.

        Raises
        ------
        RefusalError
            If the revision differs, the lease has expired or the value is too large.
        """
        if request.value is not None and len(request.value) > MAX_VALUE_BYTES:
            raise RefusalError(status=413, error="too_large")
        if request.lease_id is not None:
            self._find_lease(request.lease_id)
        current = self._entries.get(request.key)
        current_revision = current.revision if current is not None else 0
        if current_revision != request.expected_revision:
            conflict = _Conflict(current=current, revision=self.revision)
            raise RefusalError(status=409, error="conflict", details=conflict)
        if request.value is None:
            if current is not None:
                self._delete(request.key)
            return self.revision
        self._put(request.key, request.value, request.lease_id)
        return self.revision

    def grant_lease(self, ttl_ms: float) -> Lease:
        """Grant a lease."""
        if ttl_ms <= 0:
            raise RefusalError(status=400, error="bad_request")
        self._lease_count += 1
        lease_id = f"lease-{self._lease_count}"
        expires_at_ms = self._now_ms() + ttl_ms
        self._leases[lease_id] = _HeldLease(ttl_ms=ttl_ms, expires_at_ms=expires_at_ms)
        return Lease(lease_id=lease_id, ttl_ms=ttl_ms)

    def keep_alive(self, lease_id: str) -> int:
        """Renew a lease; return the revision."""
        lease = self._find_lease(lease_id)
        lease.expires_at_ms = self._now_ms() + lease.ttl_ms
        return self.revision

    def revoke_lease(self, lease_id: str) -> int:
        """Revoke a lease; return the revision."""
        self._find_lease(lease_id)
        self._drop_lease(lease_id)
        return self.revision

    def read_changes(self, prefix: str, *, after_revision: int) -> WatchBatch | None:
        """Return changes under ``prefix`` since a revision; None if there are none."""
        is_known = self._compacted_revision <= after_revision <= self.revision
        if not is_known:
            return WatchBatch(
                entries=(), deleted=(), revision=self.revision, is_reset=True
            )
        changed: dict[str, int] = {}
        for change in reversed(self._history):
            if change.revision <= after_revision:
                break
            if change.key.startswith(prefix):
                changed.setdefault(change.key, change.revision)
        if not changed:
            return None
        return self._build_batch(sorted(changed.items(), key=lambda item: item[1]))

    def _build_batch(self, changed: list[tuple[str, int]]) -> WatchBatch:
        entries: list[StoreEntry] = []
        deleted: list[DeletedKey] = []
        size = 0
        revision = self.revision
        for index, (key, key_revision) in enumerate(changed):
            entry = self._entries.get(key)
            size += len(entry.value) if entry is not None else 0
            if index and (index >= _MAX_PAGE_ENTRIES or size > _MAX_PAGE_BYTES):
                revision = changed[index - 1][1]
                break
            if entry is None:
                deleted.append(DeletedKey(key=key, revision=key_revision))
            else:
                entries.append(entry)
        return WatchBatch(
            entries=tuple(entries), deleted=tuple(deleted), revision=revision
        )

    def _find_lease(self, lease_id: str) -> _HeldLease:
        lease = self._leases.get(lease_id)
        if lease is None:
            raise RefusalError(status=404, error="lease_lost")
        return lease

    def _drop_lease(self, lease_id: str) -> None:
        lease = self._leases.pop(lease_id)
        for key in sorted(lease.keys):
            self._delete(key)

    def _put(self, key: str, value: bytes, lease_id: str | None) -> None:
        self._detach(key)
        self._record_change(key)
        self._entries[key] = StoreEntry(
            key=key, value=value, revision=self.revision, lease_id=lease_id
        )
        if lease_id is not None:
            self._leases[lease_id].keys.add(key)

    def _delete(self, key: str) -> None:
        self._detach(key)
        self._record_change(key)
        del self._entries[key]

    def _detach(self, key: str) -> None:
        entry = self._entries.get(key)
        if entry is not None and entry.lease_id in self._leases:
            self._leases[entry.lease_id].keys.discard(key)

    def _record_change(self, key: str) -> None:
        self.revision += 1
        self._history.append(_Change(key=key, revision=self.revision))
        if len(self._history) > self._settings.history_events:
            self._compacted_revision = self._history.popleft().revision
