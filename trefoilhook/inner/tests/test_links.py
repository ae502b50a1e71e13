"""Links that break, go silent, or lead to somebody else."""

import unittest

import trio

from trefoilhook.exceptions import AnswerLostError, NotSentError
from trefoilhook.inner import InnerSettings, PeerAddress, PeerState
from trefoilhook.inner.link import Link
from trefoilhook.inner.messages_pb2 import Heartbeat, StatusAnswer, StatusRequest
from trefoilhook.inner.peers import Peer
from trefoilhook.inner.tests.net import (
    HOST,
    TIMEOUT_MS,
    Relay,
    build_node,
    catch,
    find_address,
    run_pair,
    wait_for,
    wait_for_state,
)
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
                peers = await nursery.start(_run_scoped, two)
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

    def test_dropped_peer_is_forgotten(self):
        async def scenario():
            async with run_pair() as (one, _):
                one.set_peers([])
                self.assertIs(one.peer_state("two"), PeerState.DOWN)
                error = await catch(one.call("two", StatusRequest(), timeout_ms=50))
                self.assertIsInstance(error, NotSentError)

        trio.run(scenario)


async def _run_scoped(node, task_status):
    with trio.CancelScope() as scope:
        async with trio.open_nursery() as nursery:
            await nursery.start(node.run)
            task_status.started(scope)


async def _cancel_soon(scope):
    await trio.sleep(0.05)
    scope.cancel()
