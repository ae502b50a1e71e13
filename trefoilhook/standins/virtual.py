"""In-process store and links without sockets, for tests on virtual time.

They replace ``StoreClient`` and ``InnerNode``. The store behaves as the HTTP stand-in;
the links carry the protocol messages between the nodes of a test and can be cut.
"""

from collections.abc import Awaitable, Callable, Iterable
from typing import TypeVar

import attrs
import trio
from google.protobuf.message import Message

from trefoilhook.clock import Clock
from trefoilhook.exceptions import (
    AnswerLostError,
    LeaseLostError,
    NotSentError,
    OutcomeError,
    StoreError,
    StoreRateError,
    StoreUnavailableError,
    StoreUnsentError,
    TrefoilhookError,
)
from trefoilhook.inner import Call, PeerAddress, PeerState
from trefoilhook.inner.messages_pb2 import Heartbeat
from trefoilhook.standins.core import RefusalError
from trefoilhook.standins.store_state import StoreSettings, StoreState
from trefoilhook.store import (
    ConflictError,
    Lease,
    StoreEntry,
    StorePage,
    SwapRequest,
    WatchBatch,
)

__all__ = ["VirtualLinks", "VirtualNode", "VirtualStore", "VirtualStoreClient"]

_T = TypeVar("_T")
_WATCH_STEP_MS = 200.0
_HEARTBEAT_MS = 1_000.0


@attrs.define(kw_only=True)
class VirtualStore:
    """Store shared by the clients of a test.

    Parameters
    ----------
    clock : Clock
        Clock of the test.
    settings : StoreSettings, optional
        Limits of the store.
    is_down : bool
        Whether the store is unreachable for all clients.
    call_ms : float
        Duration of a call, in ms.
    """

    clock: Clock
    settings: StoreSettings = attrs.field(factory=StoreSettings)
    is_down: bool = False
    call_ms: float = 2.0
    state: StoreState = attrs.field(init=False)
    changed: trio.Event = attrs.field(factory=trio.Event)

    def __attrs_post_init__(self) -> None:
        self.state = StoreState(
            settings=self.settings, monotonic_ms=self.clock.monotonic_ms
        )

    def apply(self, kind: str, change: Callable[[StoreState], _T]) -> _T:
        """Apply one call to the state.

        Raises
        ------
        StoreError
            The error that ``StoreClient`` raises for the refusal.
        """
        self.expire_leases()
        before = self.state.revision
        try:
            self.state.count_call(kind, is_write=kind not in ("get", "list", "watch"))
            return change(self.state)
        except RefusalError as refusal:
            raise _translate(refusal) from refusal
        finally:
            self._notify_watches(before)

    def expire_leases(self) -> None:
        """Delete expired leases and their keys."""
        before = self.state.revision
        self.state.expire_leases()
        self._notify_watches(before)

    def _notify_watches(self, before: int) -> None:
        if self.state.revision != before:
            self.changed.set()
            self.changed = trio.Event()


def _translate(refusal: RefusalError) -> StoreError:
    if refusal.status == 409:
        current = getattr(refusal.details, "current", None)
        return ConflictError("the key has another revision", current=current)
    if refusal.status == 404:
        return LeaseLostError("the lease has expired")
    if refusal.status == 429:
        return StoreRateError("the store's rate limit is exceeded")
    return StoreError(refusal.error)


@attrs.define(kw_only=True)
class VirtualStoreClient:
    """An instance's client for the store.

    Parameters
    ----------
    store : VirtualStore
        Store to call.
    timeout_ms : float
        Timeout of a call, in ms.
    is_cut : bool
        Whether the store is unreachable for this instance.
    responses_to_drop : int
        Number of subsequent swaps that take effect but lose their response.
    is_watch_silent : bool
        Whether watches time out without a response.
    is_unsent : bool
        Whether calls that do not reach the store are known not to have been sent.
    """

    store: VirtualStore
    timeout_ms: float = 500.0
    is_cut: bool = False
    responses_to_drop: int = 0
    is_watch_silent: bool = False
    is_unsent: bool = False

    async def get(self, key: str) -> StoreEntry | None:
        """Return the entry at ``key``."""
        return await self._call("get", lambda state: state.get(key))

    async def list_entries(
        self, prefix: str, *, after_key: str = "", limit: int = 500
    ) -> StorePage:
        """Return a page of entries."""
        return await self._call(
            "list",
            lambda state: state.list_entries(prefix, after_key=after_key, limit=limit),
        )

    async def swap(
        self,
        key: str,
        value: bytes | None,
        *,
        expected_revision: int,
        lease_id: str | None = None,
    ) -> int:
        """Change a key if it has the expected revision."""
        request = SwapRequest(
            key=key,
            value=value,
            expected_revision=expected_revision,
            lease_id=lease_id,
        )
        return await self._call("swap", lambda state: state.swap(request))

    async def grant_lease(self, ttl_ms: float) -> Lease:
        """Request a lease."""
        return await self._call("grant", lambda state: state.grant_lease(ttl_ms))

    async def keep_alive(self, lease_id: str) -> int:
        """Renew a lease."""
        return await self._call("keep_alive", lambda state: state.keep_alive(lease_id))

    async def revoke_lease(self, lease_id: str) -> None:
        """Revoke a lease."""
        await self._call("revoke", lambda state: state.revoke_lease(lease_id))

    async def watch(
        self, prefix: str, *, after_revision: int, wait_ms: float
    ) -> WatchBatch:
        """Wait for changes under a prefix."""
        deadline_ms = self.store.clock.monotonic_ms() + wait_ms
        await self._call("watch", lambda state: None)
        while True:
            # Leases expire without a call; the step bounds the delay until a watch
            # detects that.
            with trio.move_on_after(_WATCH_STEP_MS / 1000.0):
                await self.store.changed.wait()
            self._check_reachable()
            if self.is_watch_silent:
                await self.store.clock.sleep_ms(wait_ms + self.timeout_ms)
                raise StoreUnavailableError("no complete response from the store")
            self.store.expire_leases()
            state = self.store.state
            batch = state.read_changes(prefix, after_revision=after_revision)
            if batch is not None:
                return batch
            if self.store.clock.monotonic_ms() >= deadline_ms:
                return WatchBatch(entries=(), deleted=(), revision=state.revision)

    async def _call(self, kind: str, change: Callable[[StoreState], _T]) -> _T:
        await self.store.clock.sleep_ms(self.store.call_ms)
        if self.store.is_down or self.is_cut:
            await self.store.clock.sleep_ms(self.timeout_ms)
            if self.is_unsent:
                raise StoreUnsentError("no connection to the store")
            raise StoreUnavailableError("no complete response from the store")
        result = self.store.apply(kind, change)
        if kind == "swap" and self.responses_to_drop:
            self.responses_to_drop -= 1
            raise StoreUnavailableError("no complete response from the store")
        return result

    def _check_reachable(self) -> None:
        if self.store.is_down or self.is_cut:
            raise StoreUnavailableError("no complete response from the store")


@attrs.define(kw_only=True)
class VirtualLinks:
    """Network between the nodes of a test.

    Parameters
    ----------
    clock : Clock
        Clock of the test.
    delay_ms : float
        One-way delay of messages, in ms.
    """

    clock: Clock
    delay_ms: float = 1.0
    nodes: dict[str, "VirtualNode"] = attrs.field(factory=dict)
    _cuts: set[frozenset[str]] = attrs.field(factory=set)

    def cut(self, one: str, other: str) -> None:
        """Cut the link between two instances."""
        self._cuts.add(frozenset((one, other)))

    def isolate(self, instance_id: str) -> None:
        """Cut the links between an instance and all others."""
        for other in self.nodes:
            self.cut(instance_id, other)

    def heal(self) -> None:
        """Restore all links."""
        self._cuts.clear()

    def is_cut(self, one: str, other: str) -> bool:
        """Return whether the link between two instances is cut."""
        return frozenset((one, other)) in self._cuts


class VirtualNode:
    """Links of an instance.

    Parameters
    ----------
    instance_id : str
        Id of the instance.
    links : VirtualLinks
        Network of the test.
    """

    def __init__(self, *, instance_id: str, links: VirtualLinks) -> None:
        self.instance_id = instance_id
        self._links = links
        self._peers: set[str] = set()
        self._handlers: dict[type[Message], Callable[[Call], Awaitable[Message]]] = {}
        self._heartbeat_source: Callable[[], Heartbeat] = Heartbeat
        self._on_heartbeat: Callable[[str, Heartbeat], None] = lambda sender, beat: None
        self.is_dead = False
        links.nodes[instance_id] = self

    def register_handler(
        self,
        message_type: type[Message],
        handler: Callable[[Call], Awaitable[Message]],
    ) -> None:
        """Register the handler for calls of a message type."""
        self._handlers[message_type] = handler

    def set_heartbeat_source(self, source: Callable[[], Heartbeat]) -> None:
        """Set the function that builds heartbeats."""
        self._heartbeat_source = source

    def on_heartbeat(self, handler: Callable[[str, Heartbeat], None]) -> None:
        """Set the callback for received heartbeats."""
        self._on_heartbeat = handler

    def set_peers(self, peers: Iterable[PeerAddress]) -> None:
        """Set the peers to keep links to."""
        self._peers = {peer.instance_id for peer in peers}

    def get_peer_state(self, instance_id: str) -> PeerState:
        """Return the state of the link to a peer."""
        if instance_id not in self._peers:
            return PeerState.DOWN
        if self._links.is_cut(self.instance_id, instance_id):
            return PeerState.DOWN
        peer = self._links.nodes.get(instance_id)
        if peer is None or peer.is_dead:
            return PeerState.REFUSED
        return PeerState.UP

    async def run(self) -> None:
        """Send heartbeats until cancelled."""
        while True:
            await self._links.clock.sleep_ms(_HEARTBEAT_MS)
            heartbeat = self._heartbeat_source()
            for peer_id in list(self._peers):
                if self.get_peer_state(peer_id) is PeerState.UP:
                    self._links.nodes[peer_id]._on_heartbeat(
                        self.instance_id, heartbeat
                    )

    async def call(
        self, instance_id: str, message: Message, *, timeout_ms: float
    ) -> Message:
        """Send a message and return its reply."""
        target = self._links.nodes.get(instance_id)
        is_own = instance_id == self.instance_id
        if not is_own and self.get_peer_state(instance_id) is not PeerState.UP:
            raise NotSentError(f"no link to {instance_id}")
        if target is None:
            raise NotSentError(f"no link to {instance_id}")
        reply: Message | None = None
        with trio.move_on_after(timeout_ms / 1000.0):
            await self._links.clock.sleep_ms(self._links.delay_ms)
            reply = await target.answer(self.instance_id, message, timeout_ms)
            await self._links.clock.sleep_ms(self._links.delay_ms)
        if reply is None or (
            not is_own and self._links.is_cut(self.instance_id, instance_id)
        ):
            raise AnswerLostError(
                f"no reply from {instance_id} before the call timed out"
            )
        return reply

    def send_one_way(self, instance_id: str, message: Message) -> bool:
        """Drop a one-way message; tests do not use them."""
        return False

    async def answer(
        self, sender_id: str, message: Message, timeout_ms: float
    ) -> Message:
        """Return the reply of the message's handler."""
        handler = self._handlers.get(type(message))
        if handler is None:
            raise OutcomeError(f"no handler for {type(message).__name__}")
        call = Call(sender_id=sender_id, message=message, timeout_ms=timeout_ms)
        try:
            return await handler(call)
        except TrefoilhookError as error:
            raise OutcomeError(str(error), code=error.code) from error
