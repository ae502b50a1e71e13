"""Links that break, go silent, or lead to somebody else."""

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
    FAST,
    HOST,
    TIMEOUT_MS,
    Relay,
    build_node,
    catch,
    find_address,
    run_pair,
    run_scoped,
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
    """Connections that something between the two ends lost track of."""

    def test_silent_connection_is_replaced(self):
        # Calls to a peer hang until their deadlines, for good, although the peer is
        # well: the network between forgot the connection, and sends vanish without an
        # error. The link must break by itself and a new one take its place.
        async def scenario():
            one = build_node("one")
            two = build_node("two")
            two.handle(StatusRequest, _answer)
            async with trio.open_nursery() as nursery:
                await nursery.start(one.run)
                await nursery.start(two.run)
                relay = Relay(target_port=two.port)
                await nursery.start(relay.run)
                one.set_peers([find_address(two, port=relay.port)])
                await wait_for_state(one, "two", PeerState.UP)
                relay.forget()
                with trio.fail_after(TIMEOUT_MS / 1_000):
                    lost = await catch(
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
        # As above, but megabytes wait unsent when the connection is cut. A teardown
        # that waited for the buffer to drain would never end.
        async def scenario():
            one = build_node("one")
            two = build_node("two")
            two.handle(StatusRequest, _answer)
            async with trio.open_nursery() as nursery:
                await nursery.start(one.run)
                await nursery.start(two.run)
                relay = Relay(target_port=two.port)
                await nursery.start(relay.run)
                one.set_peers([find_address(two, port=relay.port)])
                await wait_for_state(one, "two", PeerState.UP)
                relay.forget()
                relay.is_stuck = True
                for _ in range(12):
                    one.tell("two", StatusAnswer(burn="x" * 1_000_000))
                await wait_for(lambda: relay.accepted == 2)
                await wait_for_state(one, "two", PeerState.UP)
                nursery.cancel_scope.cancel()

        trio.run(scenario)

    def test_own_pause_is_not_taken_for_silence(self):
        # The process is frozen for a minute and goes on. Its peers' heartbeats wait in
        # its sockets; cutting every link for the minute gone by would fail all calls.
        protocol = WatchedProtocol(inner=_build_inner(), watch=ConnectionWatch())
        protocol.bytes_received = 1
        protocol.count_silence()
        self.assertEqual(protocol.count_silence(), 1)
        protocol.bytes_received = 2
        self.assertEqual(protocol.count_silence(), 0)

    def test_idle_link_stays(self):
        async def scenario():
            async with run_pair() as (one, two):
                heard = []
                two.on_heartbeat(lambda sender, beat: heard.append((sender, beat)))
                one.set_heartbeat_source(lambda: Heartbeat(applied_revision=7))
                await wait_for(lambda: len(heard) >= 20)
                self.assertIs(one.peer_state("two"), PeerState.UP)
                sequences = [beat.sequence for _, beat in heard]
                self.assertEqual(sequences, sorted(set(sequences)))
                self.assertEqual(heard[-1][0], "one")
                self.assertEqual(heard[-1][1].applied_revision, 7)

        trio.run(scenario)


def _build_link():
    return Link(peer_id="two", settings=InnerSettings(), cut=lambda: None)


def _build_inner():
    class _Inner:
        handler = None
        config = None
        h2_config = None

    return _Inner()


class FaultTest(unittest.TestCase):
    """Faults of one connection that must stay with it."""

    def test_link_that_cannot_write_is_closed(self):
        # Sends on a link fail, but the peer's heartbeats still come in. The link must
        # not stay up: every call on it would hang until its deadline.
        for error in (OSError("broken"), ValueError("can't encode")):
            with self.subTest(error=error):

                class _Stream:
                    async def send_message(self, batch, error=error):
                        raise error

                link = _build_link()
                link.tell(StatusRequest())
                asyncio.run(write_batches(_Stream(), link))
                self.assertFalse(link.is_open)

    def test_bytes_in_the_kernel_are_not_delivered(self):
        # An instance drains and ends while its last reply still waits in the kernel's
        # send queue, with a heartbeat unread on the connection. The end resets the
        # connection, the queue is dropped, and the caller never gets the reply.
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
            protocol = WatchedProtocol(inner=_build_inner(), watch=ConnectionWatch())
            protocol._raw = transport
            transport.write(b"x" * 100_000)
            self.assertEqual(transport.get_write_buffer_size(), 0)
            self.assertGreater(protocol.undelivered_bytes, 0)
            transport.abort()
            listener.close()

        asyncio.run(scenario())

    def test_neither_end_holds_small_writes_back(self):
        # Under load answers take 40 ms instead of 1 ms: batches larger than an HTTP/2
        # frame leave in two writes, and the second waits for a delayed acknowledgement.
        async def scenario():
            async with run_pair() as pair:
                for node in pair:
                    for protocol in node._links.watch._protocols:
                        near = protocol._raw.get_extra_info("socket")
                        option = near.getsockopt(socket.SOL_TCP, socket.TCP_NODELAY)
                        self.assertTrue(option)

        trio.run(scenario)

    def test_garbage_at_the_port_harms_nobody(self):
        # Something that doesn't speak the protocol connects: a scanner, a wrong port.
        # Calls of peers go on.
        async def scenario():
            async with run_pair() as (one, two):
                two.handle(StatusRequest, _answer)
                for garbage in (b"GET / HTTP/1.1\r\n\r\n", b"\x00" * 100_000):
                    stream = await trio.open_tcp_stream(HOST, two.port)
                    with contextlib.suppress(trio.BrokenResourceError):
                        await stream.send_all(garbage)
                    await stream.aclose()
                await one.call("two", StatusRequest(), timeout_ms=TIMEOUT_MS)

        trio.run(scenario)

    def test_failing_callback_of_the_loop_is_contained(self):
        # A callback on the asyncio loop raises. The instance goes on.
        async def scenario():
            async with run_pair() as (one, two):
                two.handle(StatusRequest, _answer)
                two._links._loop.call_soon(lambda: 1 / 0)
                for _ in range(3):
                    await one.call("two", StatusRequest(), timeout_ms=TIMEOUT_MS)

        trio.run(scenario)


class EvidenceTest(unittest.TestCase):
    """What proves that the process behind a peer's id is dead, and what doesn't."""

    def test_crash_is_proved_by_the_refused_connection(self):
        # A peer's process dies with a call on it. The caller is told that the outcome
        # is unknown; the owner's shards may be claimed at once, because nobody listens.
        async def scenario():
            one = build_node("one")
            two = build_node("two")
            two.handle(StatusRequest, _hang)
            async with trio.open_nursery() as nursery:
                await nursery.start(one.run)
                peers = await nursery.start(run_scoped, two)
                one.set_peers([find_address(two)])
                await wait_for_state(one, "two", PeerState.UP)
                nursery.start_soon(_cancel_soon, peers)
                lost = await catch(
                    one.call("two", StatusRequest(), timeout_ms=TIMEOUT_MS)
                )
                self.assertIsInstance(lost, AnswerLostError)
                await wait_for_state(one, "two", PeerState.REFUSED)
                unsent = await catch(
                    one.call("two", StatusRequest(), timeout_ms=TIMEOUT_MS)
                )
                self.assertIsInstance(unsent, NotSentError)
                nursery.cancel_scope.cancel()

        trio.run(scenario)

    def test_another_instance_at_the_address_is_a_stranger(self):
        # A peer is replaced at its old address. Its successor must get no call that
        # was meant for it, and its death is proved.
        async def scenario():
            one = build_node("one")
            successor = build_node("successor")
            async with trio.open_nursery() as nursery:
                await nursery.start(one.run)
                await nursery.start(successor.run)
                old = PeerAddress(instance_id="old", host=HOST, port=successor.port)
                one.set_peers([old])
                await wait_for_state(one, "old", PeerState.STRANGER)
                error = await catch(one.call("old", StatusRequest(), timeout_ms=50))
                self.assertIsInstance(error, NotSentError)
                nursery.cancel_scope.cancel()

        trio.run(scenario)

    def test_silence_proves_nothing(self):
        # A peer's address accepts connections and says nothing: a frozen process, or a
        # broken network. Claiming its shards at once could leave two owners.
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
                self.assertIs(one.peer_state("two"), PeerState.DOWN)
                nursery.cancel_scope.cancel()

        trio.run(scenario)

    def test_evidence_by_order_of_events(self):
        # A machine that dies first refuses and then falls silent: the proof stays. A
        # peer that is heard again was alive all the time: the proof goes.
        cases = (
            (["refused", "timeout"], PeerState.REFUSED),
            (["stranger", "timeout"], PeerState.STRANGER),
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
                    "refused": lambda peer=peer: peer.record_end(PeerState.REFUSED),
                    "stranger": lambda peer=peer: peer.record_end(PeerState.STRANGER),
                    "timeout": lambda peer=peer: peer.record_end(PeerState.DOWN),
                    "heard": peer.record_life,
                    "up": lambda peer=peer: peer.record_up(_build_link()),
                }
                for event in events:
                    steps[event]()
                self.assertIs(peer.state, expected)

    def test_a_peer_that_is_heard_is_not_dead(self):
        # A peer's port was published wrongly, so connections to it are refused, but
        # its own heartbeats arrive. Taking it for dead would leave two owners.
        async def scenario():
            patient = attrs.evolve(FAST, reconnect_min_ms=8e7, reconnect_max_ms=8e7)
            one = build_node("one", settings=patient)
            two = build_node("two")
            async with trio.open_nursery() as nursery:
                await nursery.start(one.run)
                await nursery.start(two.run)
                listeners = await trio.open_tcp_listeners(0, host=HOST)
                closed_port = listeners[0].socket.getsockname()[1]
                await listeners[0].aclose()
                one.set_peers([find_address(two, port=closed_port)])
                await wait_for_state(one, "two", PeerState.REFUSED)
                two.set_peers([find_address(one)])
                await wait_for_state(one, "two", PeerState.DOWN)
                nursery.cancel_scope.cancel()

        trio.run(scenario)

    def test_dropped_peer_is_forgotten(self):
        async def scenario():
            async with run_pair() as (one, _):
                one.set_peers([])
                self.assertIs(one.peer_state("two"), PeerState.DOWN)
                error = await catch(one.call("two", StatusRequest(), timeout_ms=50))
                self.assertIsInstance(error, NotSentError)

        trio.run(scenario)


async def _cancel_soon(scope):
    await trio.sleep(0.05)
    scope.cancel()
