"""A copy of the watched part of the store, whose revisions never go back.

Members, the table of shards and the configuration all stand under one prefix, so that
one waiting watch an instance carries them all. The copy goes on serving while the store
is down, and is passed on to a peer that starts during the outage.
"""

from collections import deque
from collections.abc import Iterable

import attrs

__all__ = ["Mirror", "MirrorEntry", "Snapshot"]

_MAX_REMEMBERED_DELETIONS = 1_000


@attrs.frozen(kw_only=True)
class MirrorEntry:
    """One value of the store.

    Parameters
    ----------
    key : str
        Its path.
    value : bytes
        The value.
    revision : int
        Store revision of its last change.
    """

    key: str
    value: bytes
    revision: int


@attrs.frozen(kw_only=True)
class Snapshot:
    """What one mirror passes to another.

    Parameters
    ----------
    revision : int
        Revision of the sending mirror.
    entries : tuple of MirrorEntry
        Entries changed after the asked revision, or all of them.
    deleted_keys : tuple of str
        Keys deleted after the asked revision; empty when all entries are sent.
    is_whole : bool
        All entries are sent: what is not among them does not exist.
    """

    revision: int
    entries: tuple[MirrorEntry, ...]
    deleted_keys: tuple[str, ...] = ()
    is_whole: bool = False


@attrs.define(kw_only=True)
class Mirror:
    """The copy itself, owned by one task.

    Parameters
    ----------
    revision : int
        Store revision up to which every change has been read. Peers rely on it: one
        that has told a revision has seen what came before, a member's record say. An
        own write is known early and does not raise it.
    """

    revision: int = 0
    _entries: dict[str, MirrorEntry] = attrs.field(factory=dict)
    _deletions: deque[tuple[int, str]] = attrs.field(
        factory=lambda: deque(maxlen=_MAX_REMEMBERED_DELETIONS)
    )
    _deletions_from: int = 0

    @property
    def entries(self) -> tuple[MirrorEntry, ...]:
        """Every entry."""
        return tuple(self._entries.values())

    def get(self, key: str) -> MirrorEntry | None:
        """Return the entry at ``key``."""
        return self._entries.get(key)

    def apply_change(self, entry: MirrorEntry) -> bool:
        """Apply one entry that was read; False when it is older than what is known."""
        self.revision = max(self.revision, entry.revision)
        return self.apply_early(entry)

    def apply_early(self, entry: MirrorEntry) -> bool:
        """Apply an entry ahead of what has been read; False when it is an older one.

        A watch that was replaced, or a peer that lags, delivers changes a second time
        and out of order. An entry that has moved on must not go back.
        """
        known = self._entries.get(entry.key)
        if known is not None and known.revision >= entry.revision:
            return False
        if known is None and self._was_deleted_after(entry.key, entry.revision):
            return False
        self._entries[entry.key] = entry
        return True

    def apply_deletion(self, key: str, revision: int) -> bool:
        """Apply one deletion; False when the key was changed later."""
        known = self._entries.get(key)
        if known is not None and known.revision > revision:
            return False
        self._entries.pop(key, None)
        self._remember_deletion(key, revision)
        self.revision = max(self.revision, revision)
        return known is not None

    def replace(self, entries: Iterable[MirrorEntry], *, revision: int) -> bool:
        """Take in a whole listing; False when it changes nothing.

        A listing may be older than what an own write has already brought in. Were it
        passed over, the changes of others that it alone shows would be missing for
        good, since the watch goes on from its revision; were it put in place, the own
        write would be gone. So each key is judged by its own revision: what is known
        from after the listing stays, the rest is as the listing says.

        Parameters
        ----------
        entries : iterable of MirrorEntry
            The whole listing.
        revision : int
            Store revision that the listing was read at.
        """
        fresh = {entry.key: entry for entry in entries}
        has_changed = False
        for key, known in list(self._entries.items()):
            if key not in fresh and known.revision <= revision:
                del self._entries[key]
                self._remember_deletion(key, revision)
                has_changed = True
        for entry in fresh.values():
            has_changed |= self.apply_early(entry)
        newest = max((entry.revision for entry in fresh.values()), default=0)
        self.revision = max(self.revision, min(newest, revision))
        return has_changed

    def apply_snapshot(self, snapshot: Snapshot) -> bool:
        """Apply what a peer passed on; False when nothing changed."""
        if snapshot.revision <= self.revision:
            return False
        if snapshot.is_whole:
            self.replace(snapshot.entries, revision=snapshot.revision)
        for key in snapshot.deleted_keys:
            self.apply_deletion(key, snapshot.revision)
        for entry in snapshot.entries:
            self.apply_early(entry)
        self.revision = max(self.revision, snapshot.revision)
        return True

    def build_snapshot(self, *, after_revision: int) -> Snapshot:
        """Return what changed after a revision, or all when that is not known."""
        if after_revision < self._deletions_from or after_revision == 0:
            return Snapshot(revision=self.revision, entries=self.entries, is_whole=True)
        changed = tuple(e for e in self.entries if e.revision > after_revision)
        gone = tuple(
            key
            for revision, key in self._deletions
            if revision > after_revision and key not in self._entries
        )
        return Snapshot(revision=self.revision, entries=changed, deleted_keys=gone)

    def _remember_deletion(self, key: str, revision: int) -> None:
        if len(self._deletions) == self._deletions.maxlen:
            self._deletions_from = self._deletions[0][0]
        self._deletions.append((revision, key))

    def _was_deleted_after(self, key: str, revision: int) -> bool:
        return any(key == gone and at >= revision for at, gone in self._deletions)
