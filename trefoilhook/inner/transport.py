"""The asyncio side: grpclib's streams, one of them to each peer.

Everything here runs on the trio-asyncio loop. It shares a thread with the trio side and
talks with it through a link's queues only.
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
    "StrangerError",
    "run_dialled_link",
    "write_batches",
]

# What a link may end with when its connection breaks.
LINK_ERRORS = (
    GRPCError,
    ProtocolError,
    StreamTerminatedError,
    OSError,
    TransportError,
)

# Makes the link to the named peer over a connection that the callable cuts.
OpenLink = Callable[[str, Callable[[], None]], Link]


class StrangerError(TransportError):
    """Another instance answers at a peer's address."""


class _LinkChannel(Channel):
    """A channel that knows its connection, so that it can be cut at once."""

    def __init__(self, *, watch: ConnectionWatch, **options: Any) -> None:
        super().__init__(**options)
        self._watch = watch
        self._made: WatchedProtocol | None = None

    def _protocol_factory(self) -> H2Protocol:
        self._made = self._watch.wrap(super()._protocol_factory())
        return self._made

    def cut(self) -> None:
        """Cut the connection without waiting for anything."""
        if self._made is not None:
            self._made.cut()


class LinkServer(Server):
    """The listening end of links.

    Parameters
    ----------
    instance_id : str
        Own instance id.
    watch : ConnectionWatch
        Watches the accepted connections.
    open_link : callable
        Makes the link for a peer that connected.
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
        """Start to listen; return the port."""
        is_ipv6 = ":" in host
        family = socket.AF_INET6 if is_ipv6 else socket.AF_INET
        # Guards against replies that are 40 ms late: asyncio switches Nagle's algorithm
        # off only on sockets that name TCP as their protocol, and with it on, the end
        # of a batch larger than one HTTP/2 frame waits for a delayed acknowledgement.
        listener = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, port))
        await self.start(sock=listener, ssl=tls)
        return int(listener.getsockname()[1])


class _LinkService(LinkBase):
    """Accepts the streams that peers open."""

    def __init__(
        self, *, instance_id: str, watch: ConnectionWatch, open_link: OpenLink
    ) -> None:
        self._instance_id = instance_id
        self._watch = watch
        self._open_link = open_link

    async def Open(self, stream: Any) -> None:  # noqa: N802
        """Serve one stream until it ends."""
        protocol = self._watch.find(stream.peer.addr())
        if protocol is None:
            return
        try:
            hello = _read_hello(await stream.recv_message())
            link = self._open_link(hello.instance_id, protocol.cut)
            await stream.send_message(_build_hello(self._instance_id))
            await _exchange(stream, link)
        except LINK_ERRORS:
            pass
        finally:
            protocol.cut()


def _build_hello(instance_id: str) -> Batch:
    return Batch(frames=[Frame(hello=Hello(instance_id=instance_id))])


def _read_hello(batch: Batch | None) -> Hello:
    if batch is None or not batch.frames or not batch.frames[0].HasField("hello"):
        raise TransportError("the peer didn't begin with its name")
    return batch.frames[0].hello


async def write_batches(stream: Any, link: Link) -> None:
    """Send what is queued, as much as fits into each batch, until cancelled.

    Frames gather while a send waits for flow control or for its turn; an idle link
    sends a single frame at once.
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
        # Guards against a link that reads but can no longer write: the peer's
        # heartbeats would keep it up while every call on it times out.
        link.close()


async def _exchange(stream: Any, link: Link) -> None:
    """Pass batches both ways until the stream ends."""
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
    is_any_welcome: bool,
    instance_id: str,
    tls: ssl.SSLContext | None,
    watch: ConnectionWatch,
    open_link: OpenLink,
) -> None:
    """Connect to a peer and pass batches until the stream ends.

    Parameters
    ----------
    host, port : str, int
        Address of the peer.
    expected_id : str
        Instance id that should answer there.
    is_any_welcome : bool
        Take whoever answers; ``expected_id`` is then only the link's name.
    instance_id : str
        Own instance id.
    tls : ssl.SSLContext or None
        Client context.
    watch : ConnectionWatch
        Watches the connection.
    open_link : callable
        Makes the link once the peer has told its name.

    Raises
    ------
    StrangerError
        If another instance answers.
    ConnectionRefusedError
        If nobody listens there.
    """
    channel = _LinkChannel(watch=watch, host=host, port=port, ssl=tls)
    try:
        async with LinkStub(channel).Open.open() as stream:
            await stream.send_message(_build_hello(instance_id))
            hello = _read_hello(await stream.recv_message())
            if hello.instance_id != expected_id and not is_any_welcome:
                raise StrangerError(f"{hello.instance_id} is not {expected_id}")
            await _exchange(stream, open_link(expected_id, channel.cut))
    finally:
        channel.cut()
        channel.close()
