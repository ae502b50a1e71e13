"""gRPC streams between instances, on asyncio with grpclib.

All code in this module runs on the trio-asyncio loop. It shares a thread with the trio
tasks and communicates with them only through the queues of a link.
"""

import asyncio
import socket
import ssl
from collections.abc import Callable
from typing import Any

from grpclib.client import Channel
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError
from grpclib.protocol import H2Protocol
from grpclib.server import Server

from trefoilhook.exceptions import TransportError
from trefoilhook.inner.link import Link
from trefoilhook.inner.messages_grpc import LinkBase, LinkStub
from trefoilhook.inner.messages_pb2 import Batch, Frame, Hello
from trefoilhook.inner.watch import ConnectionWatch, WatchedProtocol
from trefoilhook.logs import Event, log_event

__all__ = [
    "LINK_ERRORS",
    "LinkServer",
    "IdentityMismatchError",
    "run_dialled_link",
    "write_batches",
]

# Exceptions with which a link may end when its connection breaks.
LINK_ERRORS = (
    GRPCError,
    ProtocolError,
    StreamTerminatedError,
    OSError,
    TransportError,
)

# Creates the link to a peer from its instance id and a function that aborts the
# connection.
OpenLink = Callable[[str, Callable[[], None]], Link]


class IdentityMismatchError(TransportError):
    """A different instance answered at a peer's address."""


class _LinkChannel(Channel):
    """A channel that keeps its connection so that it can be aborted."""

    def __init__(self, *, watch: ConnectionWatch, **options: Any) -> None:
        super().__init__(**options)
        self._watch = watch
        self._watched_protocol: WatchedProtocol | None = None

    def _protocol_factory(self) -> H2Protocol:
        self._watched_protocol = self._watch.wrap(super()._protocol_factory())
        return self._watched_protocol

    def abort(self) -> None:
        """Abort the connection immediately."""
        if self._watched_protocol is not None:
            self._watched_protocol.abort()


class LinkServer(Server):
    """Server that accepts links from peers.

    Parameters
    ----------
    instance_id : str
        Id of this instance.
    watch : ConnectionWatch
        Tracks the accepted connections.
    open_link : callable
        Creates the link for a peer that connected.
    """

    def __init__(
        self, *, instance_id: str, watch: ConnectionWatch, open_link: OpenLink
    ) -> None:
        service = _LinkService(
            instance_id=instance_id, watch=watch, open_link=open_link
        )
        super().__init__([service])
        self._watch = watch

    def _protocol_factory(self) -> H2Protocol:
        return self._watch.wrap(super()._protocol_factory())

    async def listen(self, *, host: str, port: int, tls: ssl.SSLContext | None) -> int:
        """Start listening and return the port."""
        is_ipv6 = ":" in host
        family = socket.AF_INET6 if is_ipv6 else socket.AF_INET
        # IPPROTO_TCP must be explicit: asyncio sets TCP_NODELAY only on sockets created
        # with that protocol. With Nagle's algorithm on, the end of a batch larger than
        # one HTTP/2 frame waits 40 ms for a delayed acknowledgement.
        listener = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, port))
        await self.start(sock=listener, ssl=tls)
        return int(listener.getsockname()[1])


class _LinkService(LinkBase):
    """gRPC service that handles the streams opened by peers."""

    def __init__(
        self, *, instance_id: str, watch: ConnectionWatch, open_link: OpenLink
    ) -> None:
        self._instance_id = instance_id
        self._watch = watch
        self._open_link = open_link

    async def Open(self, stream: Any) -> None:  # noqa: N802
        """Handle one stream until it ends."""
        protocol = self._watch.find(stream.peer.addr())
        if protocol is None:
            return
        try:
            hello = _read_hello(await stream.recv_message())
            link = self._open_link(hello.instance_id, protocol.abort)
            await stream.send_message(_build_hello(self._instance_id))
            await _run_stream(stream, link)
        except LINK_ERRORS:
            pass
        finally:
            protocol.abort()


def _build_hello(instance_id: str) -> Batch:
    return Batch(frames=[Frame(hello=Hello(instance_id=instance_id))])


def _read_hello(batch: Batch | None) -> Hello:
    if batch is None or not batch.frames or not batch.frames[0].HasField("hello"):
        raise TransportError("the first frame from the peer is not a Hello")
    return batch.frames[0].hello


async def write_batches(stream: Any, link: Link) -> None:
    """Send queued frames in batches until cancelled.

    Frames accumulate while a send waits for flow control or for the event loop; on an
    idle link a single frame is sent immediately.
    """
    try:
        while True:
            batch = link.queue.take_batch()
            if batch is None:
                await link.queue.wait()
            else:
                await stream.send_message(batch)
    except LINK_ERRORS:
        pass
    except Exception as error:
        log_event(Event.TASK_FAILED, task="link writer", error=repr(error))
    finally:
        # A link that can still read but not write must be closed: the peer's
        # heartbeats would keep it up while every call on it times out.
        link.close()


async def _run_stream(stream: Any, link: Link) -> None:
    """Send and receive batches until the stream ends."""
    writer = asyncio.ensure_future(write_batches(stream, link))
    try:
        while (batch := await stream.recv_message()) is not None:
            link.deliver(batch)
    finally:
        link.close()
        writer.cancel()
        await asyncio.wait([writer])


async def run_dialled_link(
    *,
    host: str,
    port: int,
    expected_id: str,
    is_any_id_accepted: bool,
    instance_id: str,
    tls: ssl.SSLContext | None,
    watch: ConnectionWatch,
    open_link: OpenLink,
) -> None:
    """Connect to a peer, then send and receive batches until the stream ends.

    Parameters
    ----------
    host, port : str, int
        Address of the peer.
    expected_id : str
        Instance id expected at that address.
    is_any_id_accepted : bool
        Whether to accept any instance; ``expected_id`` is then only used to label the
        link.
    instance_id : str
        Id of this instance.
    tls : ssl.SSLContext or None
        Client TLS context.
    watch : ConnectionWatch
        Tracks the connection.
    open_link : callable
        Creates the link once the peer has sent its instance id.

    Raises
    ------
    IdentityMismatchError
        If a different instance answers.
    ConnectionRefusedError
        If nothing listens at the address.
    """
    channel = _LinkChannel(watch=watch, host=host, port=port, ssl=tls)
    try:
        async with LinkStub(channel).Open.open() as stream:
            await stream.send_message(_build_hello(instance_id))
            hello = _read_hello(await stream.recv_message())
            if hello.instance_id != expected_id and not is_any_id_accepted:
                raise IdentityMismatchError(
                    f"expected instance {expected_id} but {hello.instance_id} answered"
                )
            await _run_stream(stream, open_link(expected_id, channel.abort))
    finally:
        channel.abort()
        channel.close()
