"""Calls and one-way messages between two instances."""

import ssl
import unittest

import trio
import trio.testing
import trustme

from trefoilhook.exceptions import (
    AnswerLostError,
    NotSentError,
    OutcomeError,
    RequestError,
)
from trefoilhook.inner import InnerSettings, PeerState
from trefoilhook.inner.link import Link
from trefoilhook.inner.messages_pb2 import (
    Frame,
    Hello,
    JobCancel,
    JobPage,
    JobQuery,
    ServiceRequest,
    StatusAnswer,
    StatusRequest,
)
from trefoilhook.inner.tests.net import (
    TIMEOUT_MS,
    build_address,
    build_node,
    result_or_error,
    run_cancellable,
    run_pair,
    wait_for,
    wait_for_state,
)
from trefoilhook.results import ResultCode


async def _answer_sender(call):
    return StatusAnswer(instance_id=call.sender_id)


async def _refuse(call):
    raise RequestError("the queue is full", code=ResultCode.OVERLOADED)


async def _fail(call):
    raise ZeroDivisionError


async def _hang(call):
    await trio.sleep_forever()


def _register(node):
    node.register_handler(StatusRequest, _answer_sender)
    node.register_handler(JobQuery, _refuse)
    node.register_handler(JobCancel, _fail)
    node.register_handler(ServiceRequest, _hang)


class CallTest(unittest.TestCase):
    """Outcomes of calls to a peer and to the instance itself."""

    def test_call_outcomes(self):
        cases = (
            (StatusRequest(), TIMEOUT_MS, None, None),
            (JobQuery(), TIMEOUT_MS, OutcomeError, ResultCode.OVERLOADED),
            (JobCancel(), TIMEOUT_MS, OutcomeError, ResultCode.INTERNAL),
            (Hello(), TIMEOUT_MS, OutcomeError, ResultCode.METHOD_NOT_ALLOWED),
            (ServiceRequest(), 20, AnswerLostError, ResultCode.DEADLINE_AFTER_SEND),
        )

        async def scenario():
            async with run_pair() as (one, two):
                _register(one)
                _register(two)
                for target in ("one", "two"):
                    for message, timeout_ms, error_type, code in cases:
                        with self.subTest(target=target, message=message):
                            answer = await result_or_error(
                                one.call(target, message, timeout_ms=timeout_ms)
                            )
                            if error_type is None:
                                self.assertEqual(answer.instance_id, "one")
                            else:
                                self.assertIs(type(answer), error_type)
                                self.assertIs(answer.code, code)

        trio.run(scenario)

    def test_out_of_order_replies_reach_their_calls(self):
        # Later calls complete sooner, so replies arrive out of order. Each caller must
        # still receive the complete reply to its own request.
        async def answer(call):
            await trio.sleep((200 - call.message.limit) / 5_000)
            return JobPage(next_after_job_id=f"{call.message.limit}" * 1_000)

        async def ask(one, number):
            page = await one.call("two", JobQuery(limit=number), timeout_ms=TIMEOUT_MS)
            self.assertEqual(page.next_after_job_id, f"{number}" * 1_000)

        async def scenario():
            async with run_pair() as (one, two):
                two.register_handler(JobQuery, answer)
                async with trio.open_nursery() as nursery:
                    for number in range(200):
                        nursery.start_soon(ask, one, number)

        trio.run(scenario)

    def test_reply_after_timeout_is_discarded(self):
        # A reply arrives after its caller timed out. It must not be returned to the
        # next call on the link.
        release = trio.Event()

        async def answer(call):
            if call.message.limit == 1:
                await release.wait()
            return JobPage(next_after_job_id=str(call.message.limit))

        async def scenario():
            async with run_pair() as (one, two):
                two.register_handler(JobQuery, answer)
                late = await result_or_error(
                    one.call("two", JobQuery(limit=1), timeout_ms=20)
                )
                self.assertIsInstance(late, AnswerLostError)
                release.set()
                for number in (2, 3):
                    query = JobQuery(limit=number)
                    page = await one.call("two", query, timeout_ms=TIMEOUT_MS)
                    self.assertEqual(page.next_after_job_id, str(number))

        trio.run(scenario)

    def test_timeout_is_sent_with_the_call(self):
        seen = []

        async def answer(call):
            seen.append(call.timeout_ms)
            return StatusAnswer()

        async def scenario():
            async with run_pair() as (one, two):
                two.register_handler(StatusRequest, answer)
                await one.call("two", StatusRequest(), timeout_ms=12_345)

        trio.run(scenario)
        self.assertEqual(seen, [12_345.0])

    def test_large_body_is_received_intact(self):
        body = bytes(range(256)) * 20_000

        async def answer(call):
            return ServiceRequest(body=call.message.body)

        async def scenario():
            async with run_pair() as (one, two):
                two.register_handler(ServiceRequest, answer)
                request = ServiceRequest(body=body)
                answered = await one.call("two", request, timeout_ms=TIMEOUT_MS)
                self.assertEqual(answered.body, body)

        trio.run(scenario)

    def test_one_way_message_is_delivered(self):
        seen = []

        async def note(call):
            seen.append(call.sender_id)
            return StatusAnswer()

        async def scenario():
            async with run_pair() as (one, two):
                one.register_handler(StatusRequest, note)
                two.register_handler(StatusRequest, note)
                self.assertTrue(one.send_one_way("one", StatusRequest()))
                self.assertTrue(one.send_one_way("two", StatusRequest()))
                self.assertFalse(one.send_one_way("three", StatusRequest()))
                await wait_for(lambda: len(seen) == 2)

        trio.run(scenario)

    def test_drain_completes_the_call_in_progress(self):
        # An instance shuts down while a peer's call runs and exits as soon as the drain
        # returns. The caller must still receive the complete reply, which is larger
        # than the connection's buffers; a later call is refused as not run.
        entered = trio.Event()
        release = trio.Event()
        answers = []

        async def answer(call):
            entered.set()
            await release.wait()
            return StatusAnswer(burn="x" * 12_000_000)

        async def ask(one):
            request = StatusRequest()
            answers.append(
                await result_or_error(one.call("two", request, timeout_ms=TIMEOUT_MS))
            )

        async def leave(two, scope):
            await two.drain()
            scope.cancel()

        async def scenario():
            one = build_node("one")
            two = build_node("two")
            two.register_handler(StatusRequest, answer)
            async with trio.open_nursery() as nursery:
                await nursery.start(one.run)
                scope = await nursery.start(run_cancellable, two)
                one.set_peers([build_address(two)])
                await wait_for_state(one, "two", PeerState.UP)
                nursery.start_soon(ask, one)
                await entered.wait()
                nursery.start_soon(leave, two, scope)
                await trio.testing.wait_all_tasks_blocked()
                late = await result_or_error(
                    one.call("two", StatusRequest(), timeout_ms=TIMEOUT_MS)
                )
                self.assertIs(late.code, ResultCode.SHUTTING_DOWN)
                self.assertFalse(scope.cancel_called)
                release.set()
                await wait_for(lambda: answers)
                nursery.cancel_scope.cancel()

        trio.run(scenario)
        self.assertIsInstance(answers[0], StatusAnswer)
        self.assertEqual(len(answers[0].burn), 12_000_000)

    def test_calls_over_the_limit_are_refused(self):
        async def scenario():
            settings = InnerSettings(max_calls_in_progress=2)
            async with (
                run_pair(settings=settings) as (one, two),
                trio.open_nursery() as nursery,
            ):
                _register(two)
                for _ in range(2):
                    one.send_one_way("two", ServiceRequest())
                third = await result_or_error(
                    one.call("two", StatusRequest(), timeout_ms=TIMEOUT_MS)
                )
                self.assertIs(third.code, ResultCode.OVERLOADED)
                nursery.cancel_scope.cancel()

        trio.run(scenario)

    def test_mutual_tls(self):
        authority = trustme.CA()
        certificate = authority.issue_cert("127.0.0.1")
        contexts = []
        for purpose in (ssl.Purpose.CLIENT_AUTH, ssl.Purpose.SERVER_AUTH):
            context = ssl.create_default_context(purpose)
            context.verify_mode = ssl.CERT_REQUIRED
            authority.configure_trust(context)
            certificate.configure_cert(context)
            contexts.append(context)

        async def scenario():
            tls = {"tls_server": contexts[0], "tls_client": contexts[1]}
            async with run_pair(**tls) as (one, two), trio.open_nursery() as nursery:
                _register(two)
                answer = await one.call("two", StatusRequest(), timeout_ms=TIMEOUT_MS)
                self.assertEqual(answer.instance_id, "one")
                plain = build_node("plain")
                await nursery.start(plain.run)
                plain.set_peers([build_address(two)])
                await trio.sleep(0.1)
                self.assertIs(plain.get_peer_state("two"), PeerState.DOWN)
                nursery.cancel_scope.cancel()

        trio.run(scenario)


class OutboundQueueTest(unittest.TestCase):
    """Calls on a link without a running writer."""

    def _build_link(self, **caps):
        settings = InnerSettings(**caps)
        return Link(peer_id="two", settings=settings, abort=lambda: None)

    def test_frame_not_taken_by_the_writer_is_proved_unsent(self):
        # A link closes with two calls pending. The one handed to the transport has an
        # unknown outcome; the one still queued is certainly unsent and may be retried.
        async def scenario():
            link = self._build_link()
            results = {}

            async def ask(name):
                call = link.call(StatusRequest(), timeout_ms=TIMEOUT_MS)
                results[name] = await result_or_error(call)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(ask, "taken")
                await trio.testing.wait_all_tasks_blocked()
                link.queue.take_batch()
                nursery.start_soon(ask, "waiting")
                await trio.testing.wait_all_tasks_blocked()
                link.close()
                link.fail_pending()
            self.assertIsInstance(results["taken"], AnswerLostError)
            self.assertIsInstance(results["waiting"], NotSentError)

        trio.run(scenario)

    def test_call_timed_out_in_the_queue_is_never_sent(self):
        # A call times out in the queue and is reported as not sent. If the frame were
        # sent afterwards, a retry by the caller would run the request twice.
        async def scenario():
            link = self._build_link()
            error = await result_or_error(link.call(StatusRequest(), timeout_ms=1))
            self.assertIsInstance(error, NotSentError)
            self.assertIsNone(link.queue.take_batch())

        trio.run(scenario)

    def test_full_queue_refuses_calls_but_not_replies(self):
        for caps in ({"max_queued_frames": 1}, {"max_queued_bytes": 1}):
            with self.subTest(caps=caps):
                link = self._build_link(**caps)
                self.assertTrue(link.send_one_way(JobQuery(limit=1)))
                self.assertFalse(link.send_one_way(JobQuery(limit=1)))
                error = trio.run(
                    result_or_error, link.call(StatusRequest(), timeout_ms=1)
                )
                self.assertIsInstance(error, NotSentError)
                self.assertIs(error.code, ResultCode.OVERLOADED)
                link.reply(Frame(call_id=1, is_reply=True))
                self.assertEqual(len(link.queue.take_batch().frames), 2)

    def test_batches_respect_their_limits(self):
        cases = (
            ({"max_batch_frames": 3}, [3, 3, 1]),
            ({"max_batch_bytes": 1}, [1] * 7),
        )
        for caps, expected in cases:
            with self.subTest(caps=caps):
                link = self._build_link(**caps)
                for _ in range(7):
                    link.send_one_way(JobQuery(limit=1))
                sizes = []
                while (batch := link.queue.take_batch()) is not None:
                    sizes.append(len(batch.frames))
                self.assertEqual(sizes, expected)
