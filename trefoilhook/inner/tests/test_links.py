"""Broken and silent links, connection faults, and the state of peers."""

import asyncio
import contextlib
import socket
import unittest

import attrs
import trio

from trefoilhook.exceptions import AnswerLostError, NotSentError
from trefoilhook.inner import InnerSettings, PeerAddress, PeerState
from trefoilhook.inner.link import Link
from trefoilhook.inner.messages_pb2 import Heartbeat, StatusAnswer, StatusRequest
from trefoilhook.inner.peers import Peer
from trefoilhook.inner.tests.net import (
    FAST_SETTINGS,
    HOST,
    TIMEOUT_MS,
    Relay,
    build_address,
    build_node,
    result_or_error,
    run_cancellable,
    run_pair,
    wait_for,
    wait_for_state,
)
from trefoilhook.inner.transport import write_batches
from trefoilhook.inner.watch import ConnectionWatch, WatchedProtocol


async def _answer(call):
    return StatusAnswer(instance_id=call.sender_id)


async def _hang(call):
    await trio.sleep_forever()


class SilentLinkTest(unittest.TestCase):
    """Half-open connections, and links that must not be taken for such."""

    def test_silent_connection_is_replaced(self):
        # The network drops all data on a connection without an error to either end,
        # as after a NAT or firewall lost its state. Without detection every call to the
        # healthy peer would time out. The link must close and be replaced.
        async def scenario():
            one = build_node("one")
            two = build_node("two")
            two.register_handler(StatusRequest, _answer)
            async with trio.open_nursery() as nursery:
                await nursery.start(one.run)
                await nursery.start(two.run)
                relay = Relay(target_port=two.port)
                await nursery.start(relay.run)
                one.set_peers([build_address(two, port=relay.port)])
                await wait_for_state(one, "two", PeerState.UP)
                relay.blackhole()
                with trio.fail_after(TIMEOUT_MS / 1_000):
                    lost = await result_or_error(
                        one.call("two", StatusRequest(), timeout_ms=TIMEOUT_MS * 10)
                    )
                self.assertIsInstance(lost, AnswerLostError)
                await wait_for_state(one, "two", PeerState.UP)
                answer = await one.call("two", StatusRequest(), timeout_ms=TIMEOUT_MS)
                self.assertEqual(answer.instance_id, "one")
                self.assertEqual(relay.accepted, 2)
                nursery.cancel_scope.cancel()

        trio.run(scenario)

    def test_silent_connection_with_a_full_send_buffer_is_replaced(self):
        # As above, with megabytes of unsent data when the connection is aborted. A
        # close that waits for the buffer to drain would never complete.
        async def scenario():
            one = build_node("one")
            two = build_node("two")
            two.register_handler(StatusRequest, _answer)
            async with trio.open_nursery() as nursery:
                await nursery.start(one.run)
                await nursery.start(two.run)
                relay = Relay(target_port=two.port)
                await nursery.start(relay.run)
                one.set_peers([build_address(two, port=relay.port)])
                await wait_for_state(one, "two", PeerState.UP)
                relay.blackhole()
                relay.is_stalled = True
                for _ in range(12):
                    one.send_one_way("two", StatusAnswer(burn="x" * 1_000_000))
                await wait_for(lambda: relay.accepted == 2)
                await wait_for_state(one, "two", PeerState.UP)
                nursery.cancel_scope.cancel()

        trio.run(scenario)

    def test_process_pause_is_not_counted_as_silence(self):
        # The process is paused for a minute and resumed, with its peers' heartbeats in
        # the socket buffers. Aborting every link for the elapsed minute would fail all
        # calls.
        protocol = WatchedProtocol(
            protocol=_build_base_protocol(), watch=ConnectionWatch()
        )
        protocol.bytes_received = 1
        protocol.update_silent_intervals()
        self.assertEqual(protocol.update_silent_intervals(), 1)
        protocol.bytes_received = 2
        self.assertEqual(protocol.update_silent_intervals(), 0)

    def test_idle_link_stays_up(self):
        async def scenario():
            async with run_pair() as (one, two):
                heard = []
                two.on_heartbeat(lambda sender, beat: heard.append((sender, beat)))
                one.set_heartbeat_source(lambda: Heartbeat(applied_revision=7))
                await wait_for(lambda: len(heard) >= 20)
                self.assertIs(one.get_peer_state("two"), PeerState.UP)
                sequences = [beat.sequence for _, beat in heard]
                self.assertEqual(sequences, sorted(set(sequences)))
                self.assertEqual(heard[-1][0], "one")
                self.assertEqual(heard[-1][1].applied_revision, 7)

        trio.run(scenario)


def _build_link():
    return Link(peer_id="two", settings=InnerSettings(), abort=lambda: None)


def _build_base_protocol():
    class _BaseProtocol:
        handler = None
        config = None
        h2_config = None

    return _BaseProtocol()


class ConnectionFaultTest(unittest.TestCase):
    """Faults of one connection that must not affect others."""

    def test_link_that_cannot_write_is_closed(self):
        # Writes on a link fail while the peer's heartbeats still arrive. If the link
        # stayed up, every call on it would time out.
        for error in (OSError("broken"), ValueError("can't encode")):
            with self.subTest(error=error):

                class _Stream:
                    async def send_message(self, batch, error=error):
                        raise error

                link = _build_link()
                link.send_one_way(StatusRequest())
                asyncio.run(write_batches(_Stream(), link))
                self.assertFalse(link.is_open)

    def test_kernel_send_queue_counts_as_unacknowledged(self):
        # An instance drains and exits while its last reply is still in the kernel's
        # send queue and a heartbeat is unread. Closing then resets the connection and
        # discards the queue, so the caller never receives the reply.
        async def scenario():
            listener = socket.socket()
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16_384)
            listener.bind((HOST, 0))
            listener.listen()
            near = socket.create_connection(listener.getsockname())
            near.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 200_000)
            near.setblocking(False)
            loop = asyncio.get_running_loop()
            transport, _ = await loop.create_connection(asyncio.Protocol, sock=near)
            protocol = WatchedProtocol(
                protocol=_build_base_protocol(), watch=ConnectionWatch()
            )
            protocol._transport = transport
            transport.write(b"x" * 100_000)
            self.assertEqual(transport.get_write_buffer_size(), 0)
            self.assertGreater(protocol.unacknowledged_bytes, 0)
            transport.abort()
            listener.close()

        asyncio.run(scenario())

    def test_nagle_algorithm_is_off_at_both_ends(self):
        # With Nagle's algorithm on, replies under load take 40 ms instead of 1 ms:
        # batches larger than an HTTP/2 frame are sent in two writes, and the second
        # waits for a delayed acknowledgement.
        async def scenario():
            async with run_pair() as pair:
                for node in pair:
                    for protocol in node._links.watch._protocols:
                        near = protocol._transport.get_extra_info("socket")
                        option = near.getsockopt(socket.SOL_TCP, socket.TCP_NODELAY)
                        self.assertTrue(option)

        trio.run(scenario)

    def test_invalid_data_at_the_port_does_not_affect_peers(self):
        # A client that does not use the protocol connects, such as a port scanner.
        # Calls from peers must continue to work.
        async def scenario():
            async with run_pair() as (one, two):
                two.register_handler(StatusRequest, _answer)
                for garbage in (b"GET / HTTP/1.1\r\n\r\n", b"\x00" * 100_000):
                    stream = await trio.open_tcp_stream(HOST, two.port)
                    with contextlib.suppress(trio.BrokenResourceError):
                        await stream.send_all(garbage)
                    await stream.aclose()
                await one.call("two", StatusRequest(), timeout_ms=TIMEOUT_MS)

        trio.run(scenario)

    def test_exception_in_an_asyncio_callback_is_contained(self):
        # An exception in a callback of the asyncio loop must not stop the instance.
        async def scenario():
            async with run_pair() as (one, two):
                two.register_handler(StatusRequest, _answer)
                two._links._loop.call_soon(lambda: 1 / 0)
                for _ in range(3):
                    await one.call("two", StatusRequest(), timeout_ms=TIMEOUT_MS)

        trio.run(scenario)


class PeerStateTest(unittest.TestCase):
    """Events that prove that a peer's process has exited, and events that do not."""

    def test_refused_connection_proves_a_crash(self):
        # A peer's process crashes during a call. The outcome is reported as unknown.
        # The refused connection proves the exit, so its shards may be claimed at once.
        async def scenario():
            one = build_node("one")
            two = build_node("two")
            two.register_handler(StatusRequest, _hang)
            async with trio.open_nursery() as nursery:
                await nursery.start(one.run)
                peers = await nursery.start(run_cancellable, two)
                one.set_peers([build_address(two)])
                await wait_for_state(one, "two", PeerState.UP)
                nursery.start_soon(_cancel_soon, peers)
                lost = await result_or_error(
                    one.call("two", StatusRequest(), timeout_ms=TIMEOUT_MS)
                )
                self.assertIsInstance(lost, AnswerLostError)
                await wait_for_state(one, "two", PeerState.REFUSED)
                unsent = await result_or_error(
                    one.call("two", StatusRequest(), timeout_ms=TIMEOUT_MS)
                )
                self.assertIsInstance(unsent, NotSentError)
                nursery.cancel_scope.cancel()

        trio.run(scenario)

    def test_another_instance_at_the_address_proves_exit(self):
        # Another instance now listens at a peer's address. It must not receive calls
        # addressed to that peer, whose process has provably exited.
        async def scenario():
            one = build_node("one")
            successor = build_node("successor")
            async with trio.open_nursery() as nursery:
                await nursery.start(one.run)
                await nursery.start(successor.run)
                old = PeerAddress(instance_id="old", host=HOST, port=successor.port)
                one.set_peers([old])
                await wait_for_state(one, "old", PeerState.IDENTITY_MISMATCH)
                error = await result_or_error(
                    one.call("old", StatusRequest(), timeout_ms=50)
                )
                self.assertIsInstance(error, NotSentError)
                nursery.cancel_scope.cancel()

        trio.run(scenario)

    def test_timeout_does_not_prove_exit(self):
        # A peer accepts connections but sends nothing, because its process is paused or
        # the network is faulty. Claiming its shards at once could leave two owners.
        async def scenario():
            one = build_node("one")
            listeners = await trio.open_tcp_listeners(0, host=HOST)
            port = listeners[0].socket.getsockname()[1]
            attempts = []

            async def stay_silent(stream):
                attempts.append(stream)
                await trio.sleep_forever()

            async with trio.open_nursery() as nursery:
                nursery.start_soon(trio.serve_listeners, stay_silent, listeners)
                await nursery.start(one.run)
                one.set_peers([PeerAddress(instance_id="two", host=HOST, port=port)])
                await wait_for(lambda: len(attempts) >= 2)
                self.assertIs(one.get_peer_state("two"), PeerState.DOWN)
                nursery.cancel_scope.cancel()

        trio.run(scenario)

    def test_peer_state_by_order_of_events(self):
        # A failing host first refuses connections and then times out: the proof of
        # exit is kept. A heartbeat shows that the peer never exited: it is discarded.
        cases = (
            (["refused", "timeout"], PeerState.REFUSED),
            (["stranger", "timeout"], PeerState.IDENTITY_MISMATCH),
            (["timeout"], PeerState.DOWN),
            (["refused", "heard"], PeerState.DOWN),
            (["refused", "up"], PeerState.UP),
            (["up", "heard"], PeerState.UP),
            (["up", "timeout"], PeerState.DOWN),
        )
        for events, expected in cases:
            with self.subTest(events=events):
                address = PeerAddress(instance_id="two", host=HOST, port=1)
                peer = Peer(address=address)
                steps = {
                    "refused": lambda peer=peer: peer.record_disconnected(
                        PeerState.REFUSED
                    ),
                    "stranger": lambda peer=peer: peer.record_disconnected(
                        PeerState.IDENTITY_MISMATCH
                    ),
                    "timeout": lambda peer=peer: peer.record_disconnected(
                        PeerState.DOWN
                    ),
                    "heard": peer.record_heartbeat,
                    "up": lambda peer=peer: peer.record_connected(_build_link()),
                }
                for event in events:
                    steps[event]()
                self.assertIs(peer.state, expected)

    def test_heartbeat_refutes_a_proof_of_exit(self):
        # A peer's published port is wrong, so connections to it are refused, but its
        # heartbeats arrive. Treating it as exited would leave two owners of its shards.
        async def scenario():
            slow_reconnect = attrs.evolve(
                FAST_SETTINGS, reconnect_min_ms=8e7, reconnect_max_ms=8e7
            )
            one = build_node("one", settings=slow_reconnect)
            two = build_node("two")
            async with trio.open_nursery() as nursery:
                await nursery.start(one.run)
                await nursery.start(two.run)
                listeners = await trio.open_tcp_listeners(0, host=HOST)
                closed_port = listeners[0].socket.getsockname()[1]
                await listeners[0].aclose()
                one.set_peers([build_address(two, port=closed_port)])
                await wait_for_state(one, "two", PeerState.REFUSED)
                two.set_peers([build_address(one)])
                await wait_for_state(one, "two", PeerState.DOWN)
                nursery.cancel_scope.cancel()

        trio.run(scenario)

    def test_removed_peer_is_down(self):
        async def scenario():
            async with run_pair() as (one, _):
                one.set_peers([])
                self.assertIs(one.get_peer_state("two"), PeerState.DOWN)
                error = await result_or_error(
                    one.call("two", StatusRequest(), timeout_ms=50)
                )
                self.assertIsInstance(error, NotSentError)

        trio.run(scenario)


async def _cancel_soon(scope):
    await trio.sleep(0.05)
    scope.cancel()
