"""A local copy of the watched part of the store, whose revisions never decrease.

The members, the shard table and the configuration have one common prefix, so that each
instance needs a single watch. The copy remains usable while the store is down, and is
sent to peers that start during the outage.
"""

from collections import deque
from collections.abc import Iterable

import attrs

__all__ = ["Mirror", "MirrorEntry", "Snapshot"]

_MAX_TOMBSTONES = 1_000


@attrs.frozen(kw_only=True)
class MirrorEntry:
    """One entry of the store.

    Parameters
    ----------
    key : str
        Path of the key.
    value : bytes
        The value.
    revision : int
        Store revision of the key's last change.
    """

    key: str
    value: bytes
    revision: int


@attrs.frozen(kw_only=True)
class Snapshot:
    """Content that one mirror sends to another.

    Parameters
    ----------
    revision : int
        Revision of the sending mirror.
    entries : tuple of MirrorEntry
        Entries changed after the requested revision, or all entries.
    deleted_keys : tuple of str
        Keys deleted after the requested revision; empty if all entries are sent.
    is_whole : bool
        Whether all entries are sent, so that other keys do not exist.
    """

    revision: int
    entries: tuple[MirrorEntry, ...]
    deleted_keys: tuple[str, ...] = ()
    is_whole: bool = False


@attrs.define(kw_only=True)
class Mirror:
    """The local copy, owned by one task.

    Parameters
    ----------
    revision : int
        Store revision up to which every change has been read. Peers rely on it: an
        instance that reports a revision has read all earlier changes, such as a member
        record. Own writes are applied before the watch delivers them and do not advance
        the revision.
    """

    revision: int = 0
    _entries: dict[str, MirrorEntry] = attrs.field(factory=dict)
    _tombstones: deque[tuple[int, str]] = attrs.field(
        factory=lambda: deque(maxlen=_MAX_TOMBSTONES)
    )
    _tombstones_since_revision: int = 0

    @property
    def entries(self) -> tuple[MirrorEntry, ...]:
        """All entries."""
        return tuple(self._entries.values())

    def get(self, key: str) -> MirrorEntry | None:
        """Return the entry at ``key``, or None."""
        return self._entries.get(key)

    def apply_change(self, entry: MirrorEntry) -> bool:
        """Apply an entry that was read; return False if a newer one is known."""
        self.revision = max(self.revision, entry.revision)
        return self.put_if_newer(entry)

    def put_if_newer(self, entry: MirrorEntry) -> bool:
        """Store an entry without advancing the revision; return False if it is old.

        A replaced watch or a lagging peer delivers changes again and out of order; they
        must not overwrite newer entries.
        """
        known = self._entries.get(entry.key)
        if known is not None and known.revision >= entry.revision:
            return False
        if known is None and self._was_deleted_after(entry.key, entry.revision):
            return False
        self._entries[entry.key] = entry
        return True

    def apply_deletion(self, key: str, revision: int) -> bool:
        """Apply a deletion; return False if the key was absent or changed later."""
        known = self._entries.get(key)
        if known is not None and known.revision > revision:
            return False
        self._entries.pop(key, None)
        self._add_tombstone(key, revision)
        self.revision = max(self.revision, revision)
        return known is not None

    def apply_listing(self, entries: Iterable[MirrorEntry], *, revision: int) -> bool:
        """Apply a complete listing; return False if nothing changed.

        A listing may be older than an own write already applied. If the listing were
        ignored, changes by others that only it contains would be missed for good, since
        the watch continues from its revision; if it replaced everything, the own write
        would be lost. So keys are compared one by one: entries newer than the listing
        are kept, all others are taken from it.

        Parameters
        ----------
        entries : iterable of MirrorEntry
            The complete listing.
        revision : int
            Store revision at which the listing was read.
        """
        listed = {entry.key: entry for entry in entries}
        has_changed = False
        for key, known in list(self._entries.items()):
            if key not in listed and known.revision <= revision:
                del self._entries[key]
                self._add_tombstone(key, revision)
                has_changed = True
        for entry in listed.values():
            has_changed |= self.put_if_newer(entry)
        newest = max((entry.revision for entry in listed.values()), default=0)
        self.revision = max(self.revision, min(newest, revision))
        return has_changed

    def apply_snapshot(self, snapshot: Snapshot) -> bool:
        """Apply a peer's snapshot; return False if it is not ahead of this mirror."""
        if snapshot.revision <= self.revision:
            return False
        if snapshot.is_whole:
            self.apply_listing(snapshot.entries, revision=snapshot.revision)
        for key in snapshot.deleted_keys:
            self.apply_deletion(key, snapshot.revision)
        for entry in snapshot.entries:
            self.put_if_newer(entry)
        self.revision = max(self.revision, snapshot.revision)
        return True

    def build_snapshot(self, *, after_revision: int) -> Snapshot:
        """Return the changes after a revision, or all entries if they are not known."""
        if after_revision < self._tombstones_since_revision or after_revision == 0:
            return Snapshot(revision=self.revision, entries=self.entries, is_whole=True)
        changed = tuple(e for e in self.entries if e.revision > after_revision)
        deleted = tuple(
            key
            for revision, key in self._tombstones
            if revision > after_revision and key not in self._entries
        )
        return Snapshot(revision=self.revision, entries=changed, deleted_keys=deleted)

    def _add_tombstone(self, key: str, revision: int) -> None:
        if len(self._tombstones) == self._tombstones.maxlen:
            self._tombstones_since_revision = self._tombstones[0][0]
        self._tombstones.append((revision, key))

    def _was_deleted_after(self, key: str, revision: int) -> bool:
        return any(
            key == deleted_key and deleted_at >= revision
            for deleted_at, deleted_key in self._tombstones
        )
