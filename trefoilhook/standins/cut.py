"""A forwarding proxy that loses track of connections when a test asks for it."""

import enum
import struct

import attrs
import trio

from trefoilhook.clock import Clock

__all__ = ["CutSettings", "Partition", "TcpCut"]

_QUEUED_CHUNKS = 256

_ABORT = struct.pack("ii", 1, 0)
"""Socket option by which closing sends a reset."""


class Partition(enum.Enum):
    """What the cut does with connections.

    NONE: forwards. SILENT: takes them, and drops every byte. REQUESTS_LOST and
    ANSWERS_LOST: drops what goes one way. REFUSED: refuses new ones and drops every
    byte of the open ones.
    """

    NONE = "none"
    SILENT = "silent"
    REQUESTS_LOST = "requests lost"
    ANSWERS_LOST = "answers lost"
    REFUSED = "refused"


@attrs.frozen(kw_only=True)
class CutSettings:
    """How the cut forwards.

    Parameters
    ----------
    delay_ms : float, optional
        One-way delay, in ms; order is kept.
    partition : Partition, optional
        Whether it forwards at all.
    """

    delay_ms: float = 0.0
    partition: Partition = Partition.NONE


@attrs.define(kw_only=True, eq=False)
class _Pipe:
    """State of one connection: once forgotten it stays silent for good."""

    is_forgotten: bool = False
    ends: tuple[trio.SocketStream, ...] = ()


class TcpCut:
    """Forwards TCP connections to a target.

    Parameters
    ----------
    clock : Clock
        Where delays are waited for.
    target_host : str
        Address of the target, an IP number.
    target_port : int
        Port of the target.
    host : str, optional
        Address to listen on.
    port : int, optional
        Port to listen on; 0 takes a free one.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        target_host: str,
        target_port: int,
        host: str = "127.0.0.1",
        port: int = 0,
    ) -> None:
        self._clock = clock
        self._host = host
        self._target_host = target_host
        self._target_port = target_port
        self._pipes: set[_Pipe] = set()
        self._settings = CutSettings()
        self._changed = trio.Event()
        self._listen_scope = trio.CancelScope()
        self.port = port
        self.taken_connections = 0
        self.dropped_bytes = 0

    @property
    def open_connections(self) -> int:
        """Connections that are open, forgotten ones included."""
        return len(self._pipes)

    @property
    def settings(self) -> CutSettings:
        """How it forwards now."""
        return self._settings

    def set(self, settings: CutSettings) -> None:
        """Forward in another way, from now on."""
        self._settings = settings
        changed = self._changed
        self._changed = trio.Event()
        changed.set()
        if settings.partition is Partition.REFUSED:
            self._listen_scope.cancel()

    def retarget(self, port: int) -> None:
        """Forward new connections to another port of the target's host."""
        self._target_port = port

    def forget_connections(self) -> int:
        """Drop what the open connections carry, for good; new ones work.

        Returns
        -------
        int
            How many connections went silent.
        """
        for pipe in self._pipes:
            pipe.is_forgotten = True
        return len(self._pipes)

    async def reset_connections(self) -> None:
        """Reset every open connection, at both ends; new ones work."""
        for end in [end for pipe in self._pipes for end in pipe.ends]:
            if end.socket.fileno() >= 0:
                end.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_LINGER, _ABORT)
                await trio.aclose_forcefully(end)

    async def run(
        self, *, task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Forward until cancelled; reports the port."""
        async with trio.open_nursery() as pipes:
            while True:
                listeners = await trio.open_tcp_listeners(self.port, host=self._host)
                self.port = listeners[0].socket.getsockname()[1]
                task_status.started(self.port)
                task_status = trio.TASK_STATUS_IGNORED
                with trio.CancelScope() as self._listen_scope:
                    await trio.serve_listeners(
                        self._forward, listeners, handler_nursery=pipes
                    )
                while self._settings.partition is Partition.REFUSED:
                    await self._changed.wait()

    async def _forward(self, near: trio.SocketStream) -> None:
        self.taken_connections += 1
        pipe = _Pipe()
        self._pipes.add(pipe)
        try:
            async with near:
                far = await trio.open_tcp_stream(self._target_host, self._target_port)
                async with far, trio.open_nursery() as ways:
                    pipe.ends = near, far
                    lost = Partition.REQUESTS_LOST
                    ways.start_soon(
                        self._carry, near, far, pipe, ways.cancel_scope, lost
                    )
                    lost = Partition.ANSWERS_LOST
                    ways.start_soon(
                        self._carry, far, near, pipe, ways.cancel_scope, lost
                    )
        except OSError:
            return
        finally:
            self._pipes.discard(pipe)

    async def _carry(
        self,
        source: trio.SocketStream,
        sink: trio.SocketStream,
        pipe: _Pipe,
        scope: trio.CancelScope,
        lost: Partition,
    ) -> None:
        sender, receiver = trio.open_memory_channel[tuple[float, bytes]](_QUEUED_CHUNKS)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._deliver, receiver, sink, pipe, scope, lost)
            async with sender:
                try:
                    async for chunk in source:
                        due_ms = self._clock.monotonic_ms() + self._settings.delay_ms
                        await sender.send((due_ms, bytes(chunk)))
                except (trio.BrokenResourceError, trio.ClosedResourceError):
                    pass

    async def _deliver(
        self,
        receiver: trio.MemoryReceiveChannel[tuple[float, bytes]],
        sink: trio.SocketStream,
        pipe: _Pipe,
        scope: trio.CancelScope,
        lost: Partition,
    ) -> None:
        async for due_ms, chunk in receiver:
            left_ms = due_ms - self._clock.monotonic_ms()
            if left_ms > 0:
                await self._clock.sleep_ms(left_ms)
            if not self._is_open(pipe) or self._settings.partition is lost:
                self.dropped_bytes += len(chunk)
                continue
            try:
                await sink.send_all(chunk)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                break
        if self._is_open(pipe):
            scope.cancel()
        else:
            # An end that closes is not heard of by the other one either.
            await trio.sleep_forever()

    def _is_open(self, pipe: _Pipe) -> bool:
        # Bytes lost in a partition never come later, so that what carried them is
        # silent for good, as a connection is whose state was dropped on the way.
        if self._settings.partition in (Partition.SILENT, Partition.REFUSED):
            pipe.is_forgotten = True
        return not pipe.is_forgotten
