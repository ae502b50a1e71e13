"""Test instances on loopback sockets, and a TCP relay that simulates data loss."""

import contextlib
from collections.abc import AsyncIterator

import attrs
import trio

from trefoilhook.clock import build_system_clock
from trefoilhook.exceptions import TrefoilhookError
from trefoilhook.inner import InnerNode, InnerSettings, PeerAddress, PeerState

HOST = "127.0.0.1"
TIMEOUT_MS = 30_000.0
FAST_SETTINGS = InnerSettings(
    heartbeat_interval_ms=25.0,
    max_silent_intervals=8,
    connect_timeout_ms=500.0,
    reconnect_min_ms=5.0,
    reconnect_max_ms=50.0,
)


def build_node(instance_id, *, settings=FAST_SETTINGS, port=0, **options):
    """Build an instance without running it."""
    return InnerNode(
        instance_id=instance_id,
        host=HOST,
        port=port,
        clock=build_system_clock(),
        settings=settings,
        **options,
    )


def build_address(node, *, port=None):
    """Return the address of an instance, or of a relay in front of it."""
    return PeerAddress(instance_id=node.instance_id, host=HOST, port=port or node.port)


async def wait_for(condition):
    """Poll until a condition holds; fail after ``TIMEOUT_MS``."""
    with trio.fail_after(TIMEOUT_MS / 1_000):
        while not condition():
            await trio.sleep(0.002)


async def wait_for_state(node, instance_id, state):
    """Wait until a peer has the given state."""
    await wait_for(lambda: node.get_peer_state(instance_id) is state)


@contextlib.asynccontextmanager
async def run_pair(**options) -> AsyncIterator[tuple[InnerNode, InnerNode]]:
    """Run two instances, the first with a link to the second."""
    one = build_node("one", **options)
    two = build_node("two", **options)
    async with trio.open_nursery() as nursery:
        await nursery.start(one.run)
        await nursery.start(two.run)
        one.set_peers([build_address(two)])
        await wait_for_state(one, "two", PeerState.UP)
        yield one, two
        nursery.cancel_scope.cancel()


async def run_cancellable(node, task_status):
    """Run an instance; report a cancel scope that stops it abruptly."""
    with trio.CancelScope() as scope:
        async with trio.open_nursery() as nursery:
            await nursery.start(node.run)
            task_status.started(scope)


async def result_or_error(awaitable):
    """Return the result of an awaitable, or the ``TrefoilhookError`` it raises."""
    try:
        return await awaitable
    except TrefoilhookError as error:
        return error


@attrs.define(kw_only=True, eq=False)
class Relay:
    """TCP relay to a port that can stop forwarding on its open connections."""

    target_port: int
    port: int = 0
    accepted: int = 0
    blackholed: int = 0
    is_stalled: bool = False

    def blackhole(self):
        """Discard all data on the currently open connections; new ones work."""
        self.blackholed = self.accepted

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Accept connections until cancelled; report the port."""
        listeners = await trio.open_tcp_listeners(0, host=HOST)
        self.port = listeners[0].socket.getsockname()[1]
        task_status.started(self.port)
        await trio.serve_listeners(self._forward, listeners)

    async def _forward(self, near):
        self.accepted += 1
        number = self.accepted
        far = await trio.open_tcp_stream(HOST, self.target_port)
        async with far, trio.open_nursery() as nursery:
            nursery.start_soon(self._copy, number, near, far)
            nursery.start_soon(self._copy, number, far, near)

    async def _copy(self, number, source, sink):
        # A blackholed connection is not closed, so that neither end sees an error.
        with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            async for data in source:
                if number > self.blackholed:
                    await sink.send_all(data)
                elif self.is_stalled:
                    await trio.sleep_forever()
        if number > self.blackholed:
            await sink.aclose()
