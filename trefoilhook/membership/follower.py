"""The task that updates the mirror: by a watch, and from peers when that fails."""

from collections.abc import Callable

import attrs
import trio

from trefoilhook.clock import Clock
from trefoilhook.exceptions import StoreError, TrefoilhookError
from trefoilhook.inner import Call, InnerNode
from trefoilhook.inner.messages_pb2 import (
    SnapshotAnswer,
    SnapshotEntry,
    SnapshotRequest,
)
from trefoilhook.logs import Event, log_event
from trefoilhook.membership.mirror import Mirror, MirrorEntry, Snapshot
from trefoilhook.membership.settings import MembershipSettings
from trefoilhook.store import StoreClient, StoreEntry, WatchBatch

__all__ = ["WATCHED_PREFIX", "MirrorChanged", "StoreFollower"]

WATCHED_PREFIX = "root/"
_PULL_TIMEOUT_MS = 1_000.0


@attrs.frozen(kw_only=True)
class MirrorChanged:
    """Notification that the mirror has changed.

    Parameters
    ----------
    revision : int
        Current revision of the mirror.
    """

    revision: int


class StoreFollower:
    """Keeps a mirror of the watched part of the store up to date.

    Parameters
    ----------
    store : StoreClient
        Client of the platform's store.
    inner : InnerNode
        Links to the peers.
    clock : Clock
        Time source.
    settings : MembershipSettings
        Intervals and time limits of membership.
    on_change : callable
        Called after each change, before the subscribers are notified.
    seed_ids : tuple of str
        Peers to pull from while the mirror is not filled.
    """

    def __init__(
        self,
        *,
        store: StoreClient,
        inner: InnerNode,
        clock: Clock,
        settings: MembershipSettings,
        on_change: Callable[[], None],
        seed_ids: tuple[str, ...] = (),
    ) -> None:
        self._store = store
        self._inner = inner
        self._clock = clock
        self._settings = settings
        self._on_change = on_change
        self._seed_ids = seed_ids
        self._peers_ahead: dict[str, int] = {}
        self._pull_requested = trio.Event()
        self._filled = trio.Event()
        self._subscribers: list[trio.MemorySendChannel[MirrorChanged]] = []
        self.mirror = Mirror()
        inner.register_handler(SnapshotRequest, self._answer_snapshot)

    @property
    def is_loaded(self) -> bool:
        """Whether the mirror has been read once, from the store or from a peer."""
        return self._filled.is_set()

    async def wait_loaded(self) -> None:
        """Wait until the mirror has been read once."""
        await self._filled.wait()

    async def run(self) -> None:
        """Follow the store until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._run_watch)
            nursery.start_soon(self._run_pulls)

    def subscribe(self) -> trio.MemoryReceiveChannel[MirrorChanged]:
        """Return a channel that receives a message after each change of the mirror.

        The channel buffers a single message: a slow subscriber reads the latest state
        of the mirror once and skips the intermediate changes.
        """
        sender, receiver = trio.open_memory_channel[MirrorChanged](1)
        self._subscribers.append(sender)
        return receiver

    def record_peer_revision(self, peer_id: str, revision: int) -> None:
        """Record a peer's mirror revision; a peer that stays ahead is pulled from."""
        if revision <= self.mirror.revision:
            self._peers_ahead.pop(peer_id, None)
            return
        self._peers_ahead[peer_id] = revision
        self._pull_requested.set()

    def apply_own_write(self, entry: MirrorEntry) -> None:
        """Apply a change that this instance wrote, before the watch delivers it."""
        if self.mirror.put_if_newer(entry):
            self._publish_change()

    async def _run_watch(self) -> None:
        """Watch the store, starting again after each failure.

        A watch can stop delivering changes without an error while new connections work.
        The store ends each watch call after ``watch_wait_ms``, so a call that does not
        return shortly after that is silent; the client's timeout ends it and the next
        call uses a new connection.
        """
        after_revision = 0
        while True:
            try:
                if after_revision == 0:
                    after_revision = await self._list_all()
                batch = await self._store.watch(
                    WATCHED_PREFIX,
                    after_revision=after_revision,
                    wait_ms=self._settings.watch_wait_ms,
                )
            except StoreError as error:
                log_event(Event.WATCH_SILENT, reason=str(error))
                if not self.is_loaded:
                    self._pull_requested.set()
                await self._clock.sleep_ms(self._settings.pull_after_ms)
                continue
            after_revision = 0 if batch.is_reset else batch.revision
            self._apply_batch(batch)

    async def _list_all(self) -> int:
        entries: list[MirrorEntry] = []
        after_key = ""
        revision = 0
        while True:
            page = await self._store.list_entries(WATCHED_PREFIX, after_key=after_key)
            entries.extend(_copy_entry(entry) for entry in page.entries)
            # The watch starts at the first page's revision, so it delivers any changes
            # made between two pages again.
            revision = revision or page.revision
            if page.next_key is None:
                break
            after_key = page.next_key
        self.mirror.apply_listing(entries, revision=revision)
        self._filled.set()
        self._publish_change()
        return revision

    def _apply_batch(self, batch: WatchBatch) -> None:
        has_changed = False
        for entry in batch.entries:
            has_changed |= self.mirror.apply_change(_copy_entry(entry))
        for deletion in batch.deleted:
            has_changed |= self.mirror.apply_deletion(deletion.key, deletion.revision)
        if has_changed:
            self._publish_change()

    async def _run_pulls(self) -> None:
        """Pull from peers the changes that are missing in this mirror.

        Heartbeats carry each peer's revision, so a silent watch is detected by a peer
        that is ahead, long before the watch call ends. A process that starts while the
        store is down also gets the members, shards and configuration this way.
        """
        while True:
            await self._pull_requested.wait()
            self._pull_requested = trio.Event()
            if self.is_loaded:
                # In most cases this instance's watch delivers the change meanwhile.
                await self._clock.sleep_ms(self._settings.pull_after_ms)
            for peer_id in self._list_pull_sources():
                if await self._pull_from(peer_id):
                    break

    def _list_pull_sources(self) -> list[str]:
        if not self.is_loaded:
            return [*self._peers_ahead, *self._seed_ids]
        own_revision = self.mirror.revision
        return [peer for peer, at in self._peers_ahead.items() if at > own_revision]

    async def _pull_from(self, peer_id: str) -> bool:
        request = SnapshotRequest(after_revision=self.mirror.revision)
        try:
            answer = await self._inner.call(
                peer_id, request, timeout_ms=_PULL_TIMEOUT_MS
            )
        except TrefoilhookError:
            return False
        if not isinstance(answer, SnapshotAnswer) or answer.revision == 0:
            return False
        self._peers_ahead.pop(peer_id, None)
        if self.mirror.apply_snapshot(_decode_snapshot(answer)):
            self._filled.set()
            self._publish_change()
        return True

    async def _answer_snapshot(self, call: Call) -> SnapshotAnswer:
        after_revision = getattr(call.message, "after_revision", 0)
        snapshot = self.mirror.build_snapshot(after_revision=after_revision)
        return _encode_snapshot(snapshot)

    def _publish_change(self) -> None:
        self._on_change()
        message = MirrorChanged(revision=self.mirror.revision)
        for subscriber in self._subscribers:
            try:
                subscriber.send_nowait(message)
            except trio.WouldBlock:
                continue


def _copy_entry(entry: StoreEntry) -> MirrorEntry:
    return MirrorEntry(key=entry.key, value=entry.value, revision=entry.revision)


def _encode_snapshot(snapshot: Snapshot) -> SnapshotAnswer:
    entries = (
        SnapshotEntry(key=entry.key, value=entry.value, revision=entry.revision)
        for entry in snapshot.entries
    )
    return SnapshotAnswer(
        revision=snapshot.revision,
        entries=entries,
        deleted_keys=snapshot.deleted_keys,
        is_whole=snapshot.is_whole,
    )


def _decode_snapshot(answer: SnapshotAnswer) -> Snapshot:
    entries = tuple(
        MirrorEntry(key=entry.key, value=entry.value, revision=entry.revision)
        for entry in answer.entries
    )
    return Snapshot(
        revision=answer.revision,
        entries=entries,
        deleted_keys=tuple(answer.deleted_keys),
        is_whole=answer.is_whole,
    )
