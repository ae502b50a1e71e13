"""An instance's place among its peers: calls, one-way messages and heartbeats."""

import math
import ssl
from collections.abc import Callable, Iterable

import trio
from google.protobuf.message import Message

from trefoilhook.clock import Clock
from trefoilhook.exceptions import AnswerLostError, NotSentError
from trefoilhook.inner.calls import Call, CallHandler, CallTable, OwnCall
from trefoilhook.inner.link import Link
from trefoilhook.inner.links import LinkKeeper, LinkOptions
from trefoilhook.inner.messages_pb2 import Frame, Heartbeat
from trefoilhook.inner.peers import PeerAddress, PeerState
from trefoilhook.inner.settings import InnerSettings
from trefoilhook.results import ResultCode

__all__ = ["InnerNode"]

_MS_PER_S = 1000.0
_FLUSH_CHECK_MS = 2.0
_READ_BY_PEERS_MS = 250.0


class InnerNode:
    """The inner protocol of one instance.

    Each instance dials one link to each peer and makes its own calls on it; calls of
    the peer come in on the link that the peer dialled.

    Parameters
    ----------
    instance_id : str
        Own instance id, unique to this run of the process.
    host : str
        Own address, an IP number.
    port : int
        Port to listen on; zero for any free one.
    clock : Clock
        Time.
    settings : InnerSettings
        Intervals and caps.
    tls_server, tls_client : ssl.SSLContext, optional
        Contexts of the listening and of the dialling side; without them links are
        plain TCP.

    Notes
    -----
    The listener closes only when ``run`` ends. Peers take a refused connection as the
    proof that this process is dead, so ``run`` must outlive all that acts for a shard.
    """

    def __init__(
        self,
        *,
        instance_id: str,
        host: str,
        port: int,
        clock: Clock,
        settings: InnerSettings,
        tls_server: ssl.SSLContext | None = None,
        tls_client: ssl.SSLContext | None = None,
    ) -> None:
        self.instance_id = instance_id
        self._clock = clock
        self._calls = CallTable(settings=settings)
        self._read_heartbeat: Callable[[], Heartbeat] = Heartbeat
        self._hear: Callable[[str, Heartbeat], None] = lambda _id, _heartbeat: None
        self._nursery: trio.Nursery | None = None
        self._links = LinkKeeper(
            options=LinkOptions(
                instance_id=instance_id,
                host=host,
                port=port,
                clock=clock,
                settings=settings,
                tls_server=tls_server,
                tls_client=tls_client,
            ),
            receive=self._receive,
            read_heartbeat=lambda: self._read_heartbeat(),
            hear=lambda peer_id, heartbeat: self._hear(peer_id, heartbeat),
        )

    @property
    def port(self) -> int:
        """Port that this instance listens on."""
        return self._links.port

    @property
    def bytes_received(self) -> int:
        """Bytes received so far on all connections."""
        return self._links.watch.bytes_received

    def handle(self, message_type: type[Message], handler: CallHandler) -> None:
        """Let ``handler`` answer the calls that carry messages of a type.

        A handler may raise a ``TrefoilhookError``; the caller gets its code.
        """
        self._calls.register(message_type, handler)

    def set_heartbeat_source(self, source: Callable[[], Heartbeat]) -> None:
        """Let ``source`` fill in the heartbeats that leave."""
        self._read_heartbeat = source

    def on_heartbeat(self, hear: Callable[[str, Heartbeat], None]) -> None:
        """Call ``hear`` with the sender's id and each heartbeat that arrives.

        Both the links dialled here and those accepted bring heartbeats.
        """
        self._hear = hear

    def set_peers(self, peers: Iterable[PeerAddress]) -> None:
        """Keep a link to each of the peers, and to no other instance."""
        self._links.set_peers(peers)

    def peer_state(self, instance_id: str) -> PeerState:
        """Return what is known about a peer; ``DOWN`` for one that isn't kept."""
        peer = self._links.find_peer(instance_id)
        return PeerState.DOWN if peer is None else peer.state

    async def call(
        self, instance_id: str, message: Message, *, timeout_ms: float
    ) -> Message:
        """Send a message to an instance and return its reply.

        Parameters
        ----------
        instance_id : str
            Whom to call; the own id runs the handler here.
        message : Message
            What to send.
        timeout_ms : float
            Longest time to wait for the reply, in ms.

        Returns
        -------
        Message
            What the handler answered.

        Raises
        ------
        NotSentError
            If the message provably didn't leave.
        AnswerLostError
            If it may have left, and no reply came.
        OutcomeError
            If the handler refused; with its code.
        """
        if instance_id == self.instance_id:
            return await self._call_own(message, timeout_ms=timeout_ms)
        peer = self._links.find_peer(instance_id)
        link = None if peer is None else peer.open_link
        if link is None:
            raise NotSentError(f"no link to {instance_id}")
        return await link.call(message, timeout_ms=timeout_ms)

    def tell(self, instance_id: str, message: Message) -> bool:
        """Send a one-way message; tell whether it was queued.

        It is dropped when the link is down, and may be lost when the link breaks.
        """
        if instance_id == self.instance_id:
            return self._start_own(message, timeout_ms=math.inf) is not None
        peer = self._links.find_peer(instance_id)
        link = None if peer is None else peer.open_link
        return link is not None and link.tell(message)

    async def drain(self) -> None:
        """Refuse new calls of peers and wait until those in progress are answered.

        Returns when the replies have reached the peers' machines, or their links have
        broken.
        """
        await self._calls.drain()
        while not self._links.is_flushed:
            await self._clock.sleep_ms(_FLUSH_CHECK_MS)
        # Guards against an end that overtakes the reply: the peer's machine has the
        # bytes, its process has not read them all, and a connection that ends drops
        # what grpclib has buffered and not yet handed on.
        await self._clock.sleep_ms(_READ_BY_PEERS_MS)

    async def run(
        self, task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Listen, keep the links and answer calls until cancelled.

        Reports the port once it listens.
        """
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            try:
                port = await nursery.start(self._links.run)
                task_status.started(port)
                await trio.sleep_forever()
            finally:
                self._nursery = None

    def _receive(self, link: Link, frame: Frame) -> None:
        if self._nursery is not None:
            self._calls.accept(link, frame, self._nursery)

    def _start_own(self, message: Message, *, timeout_ms: float) -> OwnCall | None:
        if self._nursery is None:
            return None
        call = Call(sender_id=self.instance_id, message=message, timeout_ms=timeout_ms)
        own = OwnCall(call=call)
        self._calls.accept_own(own, self._nursery)
        return own

    async def _call_own(self, message: Message, *, timeout_ms: float) -> Message:
        own = self._start_own(message, timeout_ms=timeout_ms)
        if own is None:
            raise NotSentError("the inner protocol isn't running")
        with trio.move_on_after(timeout_ms / _MS_PER_S):
            await own.done.wait()
        if own.error is not None:
            raise own.error
        if own.reply is None:
            detail = "no answer from this instance in time"
            raise AnswerLostError(detail, code=ResultCode.DEADLINE_AFTER_SEND)
        return own.reply
