"""The links of an instance: dialling, accepting, heartbeats and replacement."""

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
    LinkServer,
    StrangerError,
    run_dialled_link,
)
from trefoilhook.inner.watch import ConnectionWatch
from trefoilhook.logs import Event, log_event

__all__ = ["LinkKeeper", "LinkOptions"]

_MS_PER_S = 1000.0
_STOP_TIMEOUT_S = 2.0
_MIN_JITTER = 0.5
_MAX_DOUBLINGS = 16

ResultT = TypeVar("ResultT")


@attrs.frozen(kw_only=True)
class LinkOptions:
    """What a keeper of links needs to know about its own instance.

    Parameters
    ----------
    instance_id : str
        Own instance id.
    host : str
        Own address, an IP number.
    port : int
        Port to listen on; zero for any free one.
    clock : Clock
        Time.
    settings : InnerSettings
        Intervals and caps.
    tls_server, tls_client : ssl.SSLContext, optional
        Contexts of the listening and of the dialling side.
    """

    instance_id: str
    host: str
    port: int
    clock: Clock
    settings: InnerSettings
    tls_server: ssl.SSLContext | None = None
    tls_client: ssl.SSLContext | None = None


def _log_fault(_loop: object, context: Mapping[str, object]) -> None:
    """Log what failed in a callback of the asyncio loop.

    Guards against one odd connection taking down the instance: trio-asyncio's own
    handler raises the error out of the loop, and every link would end with it.
    """
    fault = context.get("exception") or context.get("message")
    log_event(Event.TASK_FAILED, task="asyncio callback", error=repr(fault))


class LinkKeeper:
    """Keeps one dialled link to each peer and serves those that peers dial.

    Parameters
    ----------
    options : LinkOptions
        The own instance.
    receive : callable
        Takes each call or one-way message that a link brings.
    read_heartbeat : callable
        Fills in the heartbeats that leave.
    hear : callable
        Takes the sender's id and each heartbeat that arrives.
    """

    def __init__(
        self,
        *,
        options: LinkOptions,
        receive: Callable[[Link, Frame], None],
        read_heartbeat: Callable[[], Heartbeat],
        hear: Callable[[str, Heartbeat], None],
    ) -> None:
        self.watch = ConnectionWatch()
        self.port = options.port
        self._options = options
        self._settings = options.settings
        self._receive = receive
        self._read_heartbeat = read_heartbeat
        self._hear = hear
        self._peers: dict[str, Peer] = {}
        self._links: set[Link] = set()
        self._random = random.Random(options.instance_id)
        self._loop: trio_asyncio.TrioEventLoop | None = None
        self._sequence = 0
        # Tasks asked for from anywhere, started where the asyncio loop is current.
        self._starts_send, self._starts = trio.open_memory_channel[
            Callable[[], Awaitable[None]]
        ](math.inf)

    @property
    def is_flushed(self) -> bool:
        """Whether every frame queued on an open link has reached the peer's machine."""
        links = [link for link in self._links if link.is_open]
        is_written = all(link.queue.is_flushed for link in links)
        return is_written and self.watch.undelivered_bytes == 0

    def set_peers(self, peers: Iterable[PeerAddress]) -> None:
        """Keep a link to each of the peers, and to no other instance."""
        wanted = {peer.instance_id: peer for peer in peers}
        wanted.pop(self._options.instance_id, None)
        for instance_id, peer in list(self._peers.items()):
            if wanted.get(instance_id) != peer.address:
                peer.scope.cancel()
                del self._peers[instance_id]
        for instance_id, address in wanted.items():
            if instance_id not in self._peers:
                added = Peer(address=address)
                self._peers[instance_id] = added
                self._starts_send.send_nowait(partial(self._keep_link, added))

    def find_peer(self, instance_id: str) -> Peer | None:
        """Return a peer that is kept."""
        return self._peers.get(instance_id)

    async def run(self, task_status: trio.TaskStatus[int]) -> None:
        """Listen, dial and send heartbeats until cancelled; report the port."""
        async with trio_asyncio.open_loop() as loop:
            self._loop = loop
            loop.set_exception_handler(_log_fault)
            server = await self._run_asyncio(self._start_server)
            try:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._beat)
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
            open_link=self._accept,
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
            self.watch.cut_all()
            with trio.move_on_after(_STOP_TIMEOUT_S):
                await self._run_asyncio(server.wait_closed)

    async def _start_tasks(self, nursery: trio.Nursery) -> None:
        async for task in self._starts:
            nursery.start_soon(task)

    def _accept(self, peer_id: str, cut: Callable[[], None]) -> Link:
        link = Link(peer_id=peer_id, settings=self._settings, cut=cut)
        self._starts_send.send_nowait(partial(self._dispatch, link))
        return link

    async def _keep_link(self, peer: Peer) -> None:
        """Dial a peer, again whenever the link ends, until the peer is dropped."""
        failures = 0
        with peer.scope:
            while True:
                was_up, evidence = await self._dial(peer)
                peer.record_end(evidence)
                failures = 0 if was_up else failures + 1
                await self._options.clock.sleep_ms(self._choose_delay_ms(failures))

    async def _dial(self, peer: Peer) -> tuple[bool, PeerState]:
        """Run one attempt; tell whether the link came up and how it ended."""
        was_up = False
        evidence = PeerState.DOWN
        async with trio.open_nursery() as nursery:
            connect_timeout_s = self._settings.connect_timeout_ms / _MS_PER_S
            with trio.move_on_after(connect_timeout_s) as scope:

                def open_link(peer_id: str, cut: Callable[[], None]) -> Link:
                    nonlocal was_up
                    was_up = True
                    scope.deadline = math.inf
                    link = Link(peer_id=peer_id, settings=self._settings, cut=cut)
                    nursery.start_soon(self._dispatch, link)
                    peer.record_up(link)
                    log_event(Event.LINK_UP, peer=peer_id)
                    return link

                evidence = await self._connect(peer.address, open_link)
        if was_up:
            log_event(Event.LINK_DOWN, peer=peer.address.instance_id)
        return was_up, evidence

    async def _connect(
        self, address: PeerAddress, open_link: Callable[..., Link]
    ) -> PeerState:
        """Run a dialled link to its end; return what the end shows."""
        try:
            await self._run_asyncio(
                partial(
                    run_dialled_link,
                    host=address.host,
                    port=address.port,
                    expected_id=address.instance_id,
                    is_any_welcome=address.is_seed,
                    instance_id=self._options.instance_id,
                    tls=self._options.tls_client,
                    watch=self.watch,
                    open_link=open_link,
                )
            )
        except ConnectionRefusedError:
            return PeerState.REFUSED
        except StrangerError:
            return PeerState.STRANGER
        except LINK_ERRORS:
            return PeerState.DOWN
        return PeerState.DOWN

    def _choose_delay_ms(self, failures: int) -> float:
        doublings = min(failures, _MAX_DOUBLINGS)
        delay_ms = self._settings.reconnect_min_ms * (1 << doublings)
        capped_ms = min(delay_ms, self._settings.reconnect_max_ms)
        return capped_ms * self._random.uniform(_MIN_JITTER, 1.0)

    async def _dispatch(self, link: Link) -> None:
        """Pass on what a link brings, until it ends."""
        self._links.add(link)
        try:
            async for batch in link.inbound:
                for frame in batch.frames:
                    self._pass_on(link, frame)
        finally:
            link.close()
            link.fail_pending()
            self._links.discard(link)

    def _pass_on(self, link: Link, frame: Frame) -> None:
        if frame.is_reply:
            link.resolve(frame)
        elif frame.HasField("heartbeat"):
            peer = self._peers.get(link.peer_id)
            if peer is not None:
                peer.record_life()
            self._hear(link.peer_id, frame.heartbeat)
        else:
            self._receive(link, frame)

    async def _beat(self) -> None:
        """Send a heartbeat on each link and cut silent connections, by interval."""
        while True:
            await self._options.clock.sleep_ms(self._settings.heartbeat_interval_ms)
            heartbeat = self._read_heartbeat()
            self._sequence += 1
            heartbeat.sequence = self._sequence
            for link in self._links:
                if link.is_open:
                    link.offer_heartbeat(heartbeat)
            silent = self.watch.cut_silent(
                max_silent_intervals=self._settings.max_silent_intervals
            )
            if silent:
                log_event(Event.LINK_SILENT, connections=silent)
