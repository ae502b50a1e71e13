"""A TCP proxy that injects network faults."""

import enum
import math
import socket
import struct

import attrs
import trio

from trefoilhook.clock import Clock

__all__ = ["CutSettings", "Partition", "TcpCut"]

_MAX_QUEUED_CHUNKS = 256

_CHUNK_BYTES = 8192
"""Maximum size of the pieces in which data is forwarded. Connections that share a slow
link take turns after each piece."""

_LINGER_ZERO = struct.pack("ii", 1, 0)
"""Value of SO_LINGER with which closing a socket sends a reset."""


class Partition(enum.Enum):
    """Network partition between clients and the target.

    NONE: data is forwarded. SILENT: connections are accepted, and all data is dropped.
    REQUESTS_LOST and ANSWERS_LOST: data in one direction is dropped. REFUSED: new
    connections are refused, and all data of open ones is dropped.
    """

    NONE = "none"
    SILENT = "silent"
    REQUESTS_LOST = "requests lost"
    ANSWERS_LOST = "answers lost"
    REFUSED = "refused"


@attrs.frozen(kw_only=True)
class CutSettings:
    """Faults of a `TcpCut`.

    Parameters
    ----------
    delay_ms : float, optional
        One-way delay, in ms; the order of data is preserved.
    partition : Partition, optional
        Partition in effect.
    answer_bytes_per_s : float, optional
        Rate of the link that all connections share for data from the target, in bytes
        per second.
    """

    delay_ms: float = 0.0
    partition: Partition = Partition.NONE
    answer_bytes_per_s: float = math.inf


@attrs.define(kw_only=True, eq=False)
class _Pipe:
    """State of a connection; a forgotten one never carries data again."""

    is_forgotten: bool = False
    ends: tuple[trio.SocketStream, ...] = ()


def _reserve_port(host: str, port: int) -> socket.socket:
    """Bind a port so that no other process can obtain it; 0 selects a free one.

    A listener with SO_REUSEADDR can still bind it.
    """
    reservation = socket.socket()
    try:
        reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        reservation.bind((host, port))
    except OSError:
        reservation.close()
        raise
    return reservation


class TcpCut:
    """TCP proxy that forwards connections to a target, with faults.

    Parameters
    ----------
    clock : Clock
        Clock for delays.
    target_host : str
        IP address of the target.
    target_port : int
        Port of the target.
    host : str, optional
        IPv4 address to listen on.
    port : int, optional
        Port to listen on; 0 selects a free one. It stays reserved while connections
        are refused.
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
        self._link = trio.Lock()
        self.port = port
        self.accepted_connections = 0
        self.answered_bytes = 0
        self.dropped_bytes = 0

    @property
    def open_connections(self) -> int:
        """Number of open connections, including forgotten ones."""
        return len(self._pipes)

    @property
    def settings(self) -> CutSettings:
        """Faults in effect."""
        return self._settings

    def set(self, settings: CutSettings) -> None:
        """Change the faults from now on."""
        self._settings = settings
        changed = self._changed
        self._changed = trio.Event()
        changed.set()
        if settings.partition is Partition.REFUSED:
            self._listen_scope.cancel()

    def set_target_port(self, port: int) -> None:
        """Forward new connections to another port of the target host."""
        self._target_port = port

    def blackhole_connections(self) -> int:
        """Drop all further data of the open connections; new ones work.

        Returns
        -------
        int
            Number of connections affected.
        """
        for pipe in self._pipes:
            pipe.is_forgotten = True
        return len(self._pipes)

    async def reset_connections(self) -> None:
        """Reset all open connections at both ends; new ones work."""
        for end in [end for pipe in self._pipes for end in pipe.ends]:
            if end.socket.fileno() >= 0:
                end.setsockopt(
                    trio.socket.SOL_SOCKET, trio.socket.SO_LINGER, _LINGER_ZERO
                )
                await trio.aclose_forcefully(end)

    async def run(
        self, *, task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Forward until cancelled; the start value is the port."""
        with _reserve_port(self._host, self.port) as reservation:
            self.port = reservation.getsockname()[1]
            await self._forward_connections(task_status)

    async def _forward_connections(self, task_status: trio.TaskStatus[int]) -> None:
        async with trio.open_nursery() as pipes:
            while True:
                listeners = await trio.open_tcp_listeners(self.port, host=self._host)
                task_status.started(self.port)
                task_status = trio.TASK_STATUS_IGNORED
                with trio.CancelScope() as self._listen_scope:
                    await trio.serve_listeners(
                        self._forward, listeners, handler_nursery=pipes
                    )
                while self._settings.partition is Partition.REFUSED:
                    await self._changed.wait()

    async def _forward(self, client: trio.SocketStream) -> None:
        self.accepted_connections += 1
        pipe = _Pipe()
        self._pipes.add(pipe)
        try:
            async with client:
                target = await trio.open_tcp_stream(
                    self._target_host, self._target_port
                )
                async with target, trio.open_nursery() as directions:
                    pipe.ends = client, target
                    blocking_partition = Partition.REQUESTS_LOST
                    directions.start_soon(
                        self._relay,
                        client,
                        target,
                        pipe,
                        directions.cancel_scope,
                        blocking_partition,
                    )
                    blocking_partition = Partition.ANSWERS_LOST
                    directions.start_soon(
                        self._relay,
                        target,
                        client,
                        pipe,
                        directions.cancel_scope,
                        blocking_partition,
                    )
        except OSError:
            return
        finally:
            self._pipes.discard(pipe)

    async def _relay(
        self,
        source: trio.SocketStream,
        sink: trio.SocketStream,
        pipe: _Pipe,
        scope: trio.CancelScope,
        blocking_partition: Partition,
    ) -> None:
        sender, receiver = trio.open_memory_channel[tuple[float, bytes]](
            _MAX_QUEUED_CHUNKS
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                self._deliver, receiver, sink, pipe, scope, blocking_partition
            )
            async with sender:
                try:
                    while chunk := await source.receive_some(_CHUNK_BYTES):
                        if blocking_partition is Partition.ANSWERS_LOST:
                            await self._pass_link(len(chunk))
                        due_ms = self._clock.monotonic_ms() + self._settings.delay_ms
                        await sender.send((due_ms, bytes(chunk)))
                except (trio.BrokenResourceError, trio.ClosedResourceError):
                    pass

    async def _pass_link(self, size: int) -> None:
        """Wait for the link, and then for the transfer of ``size`` bytes."""
        self.answered_bytes += size
        rate = self._settings.answer_bytes_per_s
        if math.isfinite(rate):
            async with self._link:
                await self._clock.sleep_ms(1000.0 * size / rate)

    async def _deliver(
        self,
        receiver: trio.MemoryReceiveChannel[tuple[float, bytes]],
        sink: trio.SocketStream,
        pipe: _Pipe,
        scope: trio.CancelScope,
        blocking_partition: Partition,
    ) -> None:
        async for due_ms, chunk in receiver:
            left_ms = due_ms - self._clock.monotonic_ms()
            if left_ms > 0:
                await self._clock.sleep_ms(left_ms)
            if (
                not self._is_open(pipe)
                or self._settings.partition is blocking_partition
            ):
                self.dropped_bytes += len(chunk)
                continue
            try:
                await sink.send_all(chunk)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                break
        if self._is_open(pipe):
            scope.cancel()
        else:
            # Closing one end must not be visible at the other end.
            await trio.sleep_forever()

    def _is_open(self, pipe: _Pipe) -> bool:
        # Data dropped in a partition is not retransmitted, so the connection stays
        # silent afterwards, as if a middlebox had lost its state.
        if self._settings.partition in (Partition.SILENT, Partition.REFUSED):
            pipe.is_forgotten = True
        return not pipe.is_forgotten
