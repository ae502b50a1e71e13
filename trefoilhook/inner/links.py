"""Link management: dialling, accepting, heartbeats and reconnection."""

import math
import random
import ssl
from collections.abc import Awaitable, Callable, Iterable, Mapping
from functools import partial
from typing import TypeVar

import attrs
import trio
import trio_asyncio

from trefoilhook.clock import Clock
from trefoilhook.inner.link import Link
from trefoilhook.inner.messages_pb2 import Frame, Heartbeat
from trefoilhook.inner.peers import Peer, PeerAddress, PeerState
from trefoilhook.inner.settings import InnerSettings
from trefoilhook.inner.transport import (
    LINK_ERRORS,
    IdentityMismatchError,
    LinkServer,
    run_dialled_link,
)
from trefoilhook.inner.watch import ConnectionWatch
from trefoilhook.logs import Event, log_event

__all__ = ["LinkManager", "LinkOptions"]

_MS_PER_S = 1000.0
_STOP_TIMEOUT_S = 2.0
_MIN_JITTER_FACTOR = 0.5
_MAX_BACKOFF_EXPONENT = 16

ResultT = TypeVar("ResultT")


@attrs.frozen(kw_only=True)
class LinkOptions:
    """Options of a link manager.

    Parameters
    ----------
    instance_id : str
        Id of this instance.
    host : str
        IP address to listen on.
    port : int
        Port to listen on; zero selects a free port.
    clock : Clock
        Time source.
    settings : InnerSettings
        Intervals and limits.
    tls_server, tls_client : ssl.SSLContext, optional
        TLS contexts for accepted and for dialled connections.
    """

    instance_id: str
    host: str
    port: int
    clock: Clock
    settings: InnerSettings
    tls_server: ssl.SSLContext | None = None
    tls_client: ssl.SSLContext | None = None


def _log_callback_error(_loop: object, context: Mapping[str, object]) -> None:
    """Log an exception raised in a callback of the asyncio loop.

    Replaces trio-asyncio's default handler, which raises the exception out of the loop:
    an error on one connection would then close every link.
    """
    error = context.get("exception") or context.get("message")
    log_event(Event.TASK_FAILED, task="asyncio callback", error=repr(error))


class LinkManager:
    """Maintains one dialled link to each peer and serves accepted links.

    Parameters
    ----------
    options : LinkOptions
        Identity, address and settings of this instance.
    handle_frame : callable
        Called with the link and the frame of each received call or one-way message.
    build_heartbeat : callable
        Builds outgoing heartbeats.
    handle_heartbeat : callable
        Called with the sender's id and each received heartbeat.
    """

    def __init__(
        self,
        *,
        options: LinkOptions,
        handle_frame: Callable[[Link, Frame], None],
        build_heartbeat: Callable[[], Heartbeat],
        handle_heartbeat: Callable[[str, Heartbeat], None],
    ) -> None:
        self.watch = ConnectionWatch()
        self.port = options.port
        self._options = options
        self._settings = options.settings
        self._handle_frame = handle_frame
        self._build_heartbeat = build_heartbeat
        self._handle_heartbeat = handle_heartbeat
        self._peers: dict[str, Peer] = {}
        self._links: set[Link] = set()
        self._random = random.Random(options.instance_id)
        self._loop: trio_asyncio.TrioEventLoop | None = None
        self._heartbeat_sequence = 0
        # Tasks requested from any context, started where the asyncio loop is current.
        self._task_send, self._task_receive = trio.open_memory_channel[
            Callable[[], Awaitable[None]]
        ](math.inf)

    @property
    def is_flushed(self) -> bool:
        """Whether every frame queued on an open link has reached the peer's host."""
        links = [link for link in self._links if link.is_open]
        is_written = all(link.queue.is_flushed for link in links)
        return is_written and self.watch.unacknowledged_bytes == 0

    def set_peers(self, peers: Iterable[PeerAddress]) -> None:
        """Maintain links to exactly these peers."""
        wanted = {peer.instance_id: peer for peer in peers}
        wanted.pop(self._options.instance_id, None)
        for instance_id, peer in list(self._peers.items()):
            if wanted.get(instance_id) != peer.address:
                peer.cancel_scope.cancel()
                del self._peers[instance_id]
        for instance_id, address in wanted.items():
            if instance_id not in self._peers:
                added = Peer(address=address)
                self._peers[instance_id] = added
                self._task_send.send_nowait(partial(self._maintain_link, added))

    def find_peer(self, instance_id: str) -> Peer | None:
        """Return the peer with an instance id, or None."""
        return self._peers.get(instance_id)

    async def run(self, task_status: trio.TaskStatus[int]) -> None:
        """Listen, dial and send heartbeats until cancelled; report the port."""
        async with trio_asyncio.open_loop() as loop:
            self._loop = loop
            loop.set_exception_handler(_log_callback_error)
            server = await self._run_asyncio(self._start_server)
            try:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._run_heartbeats)
                    nursery.start_soon(self._start_tasks, nursery)
                    task_status.started(self.port)
            finally:
                await self._stop(server)

    async def _run_asyncio(self, function: Callable[[], Awaitable[ResultT]]) -> ResultT:
        wrapped = trio_asyncio.aio_as_trio(function, loop=self._loop)
        result: ResultT = await wrapped()
        return result

    async def _start_server(self) -> LinkServer:
        server = LinkServer(
            instance_id=self._options.instance_id,
            watch=self.watch,
            open_link=self._accept_link,
        )
        self.port = await server.listen(
            host=self._options.host,
            port=self._options.port,
            tls=self._options.tls_server,
        )
        return server

    async def _stop(self, server: LinkServer) -> None:
        with trio.CancelScope(shield=True):
            server.close()
            self.watch.abort_all()
            with trio.move_on_after(_STOP_TIMEOUT_S):
                await self._run_asyncio(server.wait_closed)

    async def _start_tasks(self, nursery: trio.Nursery) -> None:
        async for task in self._task_receive:
            nursery.start_soon(task)

    def _accept_link(self, peer_id: str, abort: Callable[[], None]) -> Link:
        link = Link(peer_id=peer_id, settings=self._settings, abort=abort)
        self._task_send.send_nowait(partial(self._dispatch_frames, link))
        return link

    async def _maintain_link(self, peer: Peer) -> None:
        """Dial a peer and reconnect when the link ends, until the peer is removed."""
        failures = 0
        with peer.cancel_scope:
            while True:
                was_up, state = await self._dial(peer)
                peer.record_disconnected(state)
                failures = 0 if was_up else failures + 1
                await self._options.clock.sleep_ms(self._compute_backoff_ms(failures))

    async def _dial(self, peer: Peer) -> tuple[bool, PeerState]:
        """Dial once; return whether the link opened, and the resulting peer state."""
        was_up = False
        state = PeerState.DOWN
        async with trio.open_nursery() as nursery:
            connect_timeout_s = self._settings.connect_timeout_ms / _MS_PER_S
            with trio.move_on_after(connect_timeout_s) as scope:

                def open_link(peer_id: str, abort: Callable[[], None]) -> Link:
                    nonlocal was_up
                    was_up = True
                    scope.deadline = math.inf
                    link = Link(peer_id=peer_id, settings=self._settings, abort=abort)
                    nursery.start_soon(self._dispatch_frames, link)
                    peer.record_connected(link)
                    log_event(Event.LINK_UP, peer=peer_id)
                    return link

                state = await self._connect(peer.address, open_link)
        if was_up:
            log_event(Event.LINK_DOWN, peer=peer.address.instance_id)
        return was_up, state

    async def _connect(
        self, address: PeerAddress, open_link: Callable[..., Link]
    ) -> PeerState:
        """Run a dialled link until it ends; return the resulting peer state."""
        try:
            await self._run_asyncio(
                partial(
                    run_dialled_link,
                    host=address.host,
                    port=address.port,
                    expected_id=address.instance_id,
                    is_any_id_accepted=address.is_seed,
                    instance_id=self._options.instance_id,
                    tls=self._options.tls_client,
                    watch=self.watch,
                    open_link=open_link,
                )
            )
        except ConnectionRefusedError:
            return PeerState.REFUSED
        except IdentityMismatchError:
            return PeerState.IDENTITY_MISMATCH
        except LINK_ERRORS:
            return PeerState.DOWN
        return PeerState.DOWN

    def _compute_backoff_ms(self, failures: int) -> float:
        exponent = min(failures, _MAX_BACKOFF_EXPONENT)
        delay_ms = self._settings.reconnect_min_ms * (1 << exponent)
        capped_ms = min(delay_ms, self._settings.reconnect_max_ms)
        return capped_ms * self._random.uniform(_MIN_JITTER_FACTOR, 1.0)

    async def _dispatch_frames(self, link: Link) -> None:
        """Dispatch the frames received on a link until it ends."""
        self._links.add(link)
        try:
            async for batch in link.inbound:
                for frame in batch.frames:
                    self._dispatch_frame(link, frame)
        finally:
            link.close()
            link.fail_pending()
            self._links.discard(link)

    def _dispatch_frame(self, link: Link, frame: Frame) -> None:
        if frame.is_reply:
            link.resolve(frame)
        elif frame.HasField("heartbeat"):
            peer = self._peers.get(link.peer_id)
            if peer is not None:
                peer.record_heartbeat()
            self._handle_heartbeat(link.peer_id, frame.heartbeat)
        else:
            self._handle_frame(link, frame)

    async def _run_heartbeats(self) -> None:
        """Send heartbeats and abort silent connections once per heartbeat interval."""
        while True:
            await self._options.clock.sleep_ms(self._settings.heartbeat_interval_ms)
            heartbeat = self._build_heartbeat()
            self._heartbeat_sequence += 1
            heartbeat.sequence = self._heartbeat_sequence
            for link in self._links:
                if link.is_open:
                    link.queue_heartbeat(heartbeat)
            aborted_count = self.watch.abort_silent(
                max_silent_intervals=self._settings.max_silent_intervals
            )
            if aborted_count:
                log_event(Event.LINK_SILENT, connections=aborted_count)
