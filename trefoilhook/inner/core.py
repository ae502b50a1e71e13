"""Endpoint of the inter-instance protocol: calls, one-way messages and heartbeats."""

import math
import ssl
from collections.abc import Callable, Iterable

import trio
from google.protobuf.message import Message

from trefoilhook.clock import Clock
from trefoilhook.exceptions import AnswerLostError, NotSentError
from trefoilhook.inner.calls import Call, CallHandler, CallTable, LocalCall
from trefoilhook.inner.link import Link
from trefoilhook.inner.links import LinkManager, LinkOptions
from trefoilhook.inner.messages_pb2 import Frame, Heartbeat
from trefoilhook.inner.peers import PeerAddress, PeerState
from trefoilhook.inner.settings import InnerSettings
from trefoilhook.results import ResultCode

__all__ = ["InnerNode"]

_MS_PER_S = 1000.0
_FLUSH_POLL_INTERVAL_MS = 2.0
_FINAL_READ_GRACE_MS = 250.0


class InnerNode:
    """Endpoint of the inter-instance protocol for one instance.

    Each instance dials one link to each peer and sends its calls on it. Calls from the
    peer arrive on the link that the peer dialled.

    Parameters
    ----------
    instance_id : str
        Id of this instance, unique to this run of the process.
    host : str
        IP address to listen on.
    port : int
        Port to listen on; zero selects a free port.
    clock : Clock
        Time source.
    settings : InnerSettings
        Intervals and limits.
    tls_server, tls_client : ssl.SSLContext, optional
        TLS contexts for accepted and for dialled connections; without them links use
        plain TCP.

    Notes
    -----
    The listener closes only when ``run`` ends. Peers treat a refused connection as
    proof that this process has exited, so ``run`` must outlive every task that acts on
    behalf of a shard.
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
        self._build_heartbeat: Callable[[], Heartbeat] = Heartbeat
        self._handle_heartbeat: Callable[[str, Heartbeat], None] = (
            lambda _id, _heartbeat: None
        )
        self._nursery: trio.Nursery | None = None
        self._links = LinkManager(
            options=LinkOptions(
                instance_id=instance_id,
                host=host,
                port=port,
                clock=clock,
                settings=settings,
                tls_server=tls_server,
                tls_client=tls_client,
            ),
            handle_frame=self._accept_frame,
            build_heartbeat=lambda: self._build_heartbeat(),
            handle_heartbeat=lambda peer_id, heartbeat: self._handle_heartbeat(
                peer_id, heartbeat
            ),
        )

    @property
    def port(self) -> int:
        """Port on which this instance listens."""
        return self._links.port

    @property
    def bytes_received(self) -> int:
        """Total number of bytes received on all connections."""
        return self._links.watch.bytes_received

    def register_handler(
        self, message_type: type[Message], handler: CallHandler
    ) -> None:
        """Register the handler for calls that carry messages of a type.

        A handler may raise a ``TrefoilhookError``; its code is returned to the caller.
        """
        self._calls.register(message_type, handler)

    def set_heartbeat_source(self, source: Callable[[], Heartbeat]) -> None:
        """Set the function that builds outgoing heartbeats."""
        self._build_heartbeat = source

    def on_heartbeat(self, handler: Callable[[str, Heartbeat], None]) -> None:
        """Set the handler called with the sender's id and each received heartbeat.

        Heartbeats arrive on dialled and on accepted links.
        """
        self._handle_heartbeat = handler

    def set_peers(self, peers: Iterable[PeerAddress]) -> None:
        """Maintain links to exactly these peers."""
        self._links.set_peers(peers)

    def get_peer_state(self, instance_id: str) -> PeerState:
        """Return the state of a peer; ``DOWN`` if the instance is not a peer."""
        peer = self._links.find_peer(instance_id)
        return PeerState.DOWN if peer is None else peer.state

    async def call(
        self, instance_id: str, message: Message, *, timeout_ms: float
    ) -> Message:
        """Send a message to an instance and return its reply.

        Parameters
        ----------
        instance_id : str
            Instance to call; the id of this instance runs the handler locally.
        message : Message
            Request message.
        timeout_ms : float
            Maximum time to wait for the reply, in ms.

        Returns
        -------
        Message
            Reply from the handler.

        Raises
        ------
        NotSentError
            If the message was certainly not sent.
        AnswerLostError
            If the message may have been sent and no reply was received.
        OutcomeError
            If the handler raised an error; carries its code.
        """
        if instance_id == self.instance_id:
            return await self._call_local(message, timeout_ms=timeout_ms)
        peer = self._links.find_peer(instance_id)
        link = None if peer is None else peer.open_link
        if link is None:
            raise NotSentError(f"no link to {instance_id}")
        return await link.call(message, timeout_ms=timeout_ms)

    def send_one_way(self, instance_id: str, message: Message) -> bool:
        """Send a one-way message; return whether it was queued.

        The message is dropped if the link is down, and may be lost if the link breaks.
        """
        if instance_id == self.instance_id:
            return self._start_local_call(message, timeout_ms=math.inf) is not None
        peer = self._links.find_peer(instance_id)
        link = None if peer is None else peer.open_link
        return link is not None and link.send_one_way(message)

    async def drain(self) -> None:
        """Refuse new calls from peers and wait for those in progress to complete.

        Returns once the replies have reached the peers' hosts, or their links have
        broken.
        """
        await self._calls.drain()
        while not self._links.is_flushed:
            await self._clock.sleep_ms(_FLUSH_POLL_INTERVAL_MS)
        # Gives peers time to read their replies before the connections close. The
        # bytes have been acknowledged by the peer's host but may not have been read by
        # its process, and grpclib discards buffered data when a connection ends.
        await self._clock.sleep_ms(_FINAL_READ_GRACE_MS)

    async def run(
        self, task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Listen, maintain the links and serve calls until cancelled.

        Reports the port once the listener is open.
        """
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            try:
                port = await nursery.start(self._links.run)
                task_status.started(port)
                await trio.sleep_forever()
            finally:
                self._nursery = None

    def _accept_frame(self, link: Link, frame: Frame) -> None:
        if self._nursery is not None:
            self._calls.accept(link, frame, self._nursery)

    def _start_local_call(
        self, message: Message, *, timeout_ms: float
    ) -> LocalCall | None:
        if self._nursery is None:
            return None
        call = Call(sender_id=self.instance_id, message=message, timeout_ms=timeout_ms)
        local_call = LocalCall(call=call)
        self._calls.accept_local(local_call, self._nursery)
        return local_call

    async def _call_local(self, message: Message, *, timeout_ms: float) -> Message:
        local_call = self._start_local_call(message, timeout_ms=timeout_ms)
        if local_call is None:
            raise NotSentError("the inter-instance protocol is not running")
        with trio.move_on_after(timeout_ms / _MS_PER_S):
            await local_call.done.wait()
        if local_call.error is not None:
            raise local_call.error
        if local_call.reply is None:
            detail = "local handler did not reply before the call timed out"
            raise AnswerLostError(detail, code=ResultCode.DEADLINE_AFTER_SEND)
        return local_call.reply
