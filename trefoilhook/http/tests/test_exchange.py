"""Tests of the HTTP client against the HTTP server."""

import hashlib
import unittest
from functools import partial

import attrs
import h11
import trio
import trio.testing

from trefoilhook.exceptions import (
    AnswerLostError,
    NotSentError,
    TransportFailure,
)
from trefoilhook.http import (
    HttpClient,
    HttpLimits,
    HttpRequest,
    HttpResponse,
    HttpServer,
    IdleLimit,
)

_HOST = "127.0.0.1"


async def _echo(request: HttpRequest) -> HttpResponse:
    return HttpResponse(status=200, body=request.body)


async def _digest(request: HttpRequest) -> HttpResponse:
    return HttpResponse(status=200, body=hashlib.sha256(request.body).digest())


@attrs.define(kw_only=True, eq=False)
class _StepCount(trio.abc.Instrument):
    """Counts the turns of the event loop in which a task runs."""

    task: trio.lowlevel.Task
    count: int = 0

    def before_task_step(self, task: trio.lowlevel.Task) -> None:
        """Count a step of the task."""
        self.count += task is self.task


class ExchangeTest(unittest.TestCase):
    """Requests, failures and shutdown over real sockets."""

    def test_many_requests_reuse_a_connection(self):
        async def scenario():
            server = HttpServer(handler=_echo, host=_HOST, port=0)
            async with trio.open_nursery() as nursery:
                port = await nursery.start(server.run)
                client = HttpClient(host=_HOST, port=port, max_connections=1)
                for number in range(3):
                    body = str(number).encode()
                    request = HttpRequest(method="POST", target="/", body=body)
                    answer = await client.send(request, timeout_ms=5_000)
                    self.assertEqual((answer.status, answer.body), (200, body))
                await client.close()
                nursery.cancel_scope.cancel()

        trio.run(scenario)

    def test_clients_share_limit_on_idle_connections(self):
        # Guards against clients of many servers that take all file descriptors.
        async def scenario():
            server = HttpServer(handler=_echo, host=_HOST, port=0)
            async with trio.open_nursery() as nursery:
                port = await nursery.start(server.run)
                limit = IdleLimit(max_connections=2)
                clients = [
                    HttpClient(host=_HOST, port=port, idle_limit=limit)
                    for _ in range(4)
                ]
                request = HttpRequest(method="POST", target="/", body=b"x")
                for client in (*clients, *clients):
                    answer = await client.send(request, timeout_ms=5_000)
                    self.assertEqual(answer.body, b"x")
                kept = [len(client._idle) for client in clients]
                self.assertEqual(kept, [0, 0, 1, 1])
                for client in clients:
                    await client.close()
                await clients[0].send(request, timeout_ms=5_000)
                self.assertEqual(len(clients[0]._idle), 1)
                await clients[0].close()
                nursery.cancel_scope.cancel()

        trio.run(scenario)

    def test_exchange_on_open_connection_takes_one_turn(self):
        # Guards against a busy event loop that delays each exchange by several turns.
        async def scenario():
            server = HttpServer(handler=_echo, host=_HOST, port=0)
            async with trio.open_nursery() as nursery:
                port = await nursery.start(server.run)
                client = HttpClient(host=_HOST, port=port)
                request = HttpRequest(method="POST", target="/", body=b"x")
                await client.send(request, timeout_ms=5_000)
                steps = _StepCount(task=trio.lowlevel.current_task())
                trio.lowlevel.add_instrument(steps)
                await client.send(request, timeout_ms=5_000)
                trio.lowlevel.remove_instrument(steps)
                self.assertEqual(steps.count, 1)
                await client.close()
                nursery.cancel_scope.cancel()

        trio.run(scenario)

    def test_cached_heads_are_of_equal_requests_only(self):
        # Guards against a cached head that is sent for a request that differs from it.
        async def scenario():
            received = []

            async def record(request: HttpRequest) -> HttpResponse:
                names = ("host", "expect-instance", "content-length")
                headers = [request.get_header(name) for name in names]
                received.append((request.method, request.target, *headers))
                return HttpResponse(status=200, body=request.body)

            server = HttpServer(handler=record, host=_HOST, port=0)
            async with trio.open_nursery() as nursery:
                port = await nursery.start(server.run)
                host = f"{_HOST}:{port}"
                table = (
                    ("POST", "/a", host, "w1", "1"),
                    ("POST", "/a", host, "w2", "1"),
                    ("POST", "/a", host, "w1", "2"),
                    ("PUT", "/a", host, "w1", "1"),
                    ("POST", "/b", host, "w1", "1"),
                )
                for limit in (0, 1, 16):
                    client = HttpClient(host=_HOST, port=port, max_cached_heads=limit)
                    for method, target, _, instance, length in table * 2:
                        request = HttpRequest(
                            method=method,
                            target=target,
                            headers=(("expect-instance", instance),),
                            body=b"x" * int(length),
                        )
                        answer = await client.send(request, timeout_ms=5_000)
                        self.assertEqual(answer.body, request.body)
                    self.assertEqual(tuple(received), table * 2)
                    received.clear()
                    kept = client._build_head.cache_info().currsize
                    self.assertEqual(kept, min(limit, len(table)))
                    await client.close()
                nursery.cancel_scope.cancel()

        trio.run(scenario)

    def test_invalid_header_is_refused_each_time(self):
        # Guards against a cached head that hides an invalid header.
        async def scenario():
            server = HttpServer(handler=_echo, host=_HOST, port=0)
            async with trio.open_nursery() as nursery:
                port = await nursery.start(server.run)
                client = HttpClient(host=_HOST, port=port, max_cached_heads=16)
                for value in ("w1", "w1\r\nx: y", "w1\r\nx: y"):
                    request = HttpRequest(
                        method="POST", target="/", headers=(("x", value),)
                    )
                    if value == "w1":
                        await client.send(request, timeout_ms=5_000)
                        continue
                    with self.assertRaises(h11.LocalProtocolError):
                        await client.send(request, timeout_ms=5_000)
                await client.close()
                nursery.cancel_scope.cancel()

        trio.run(scenario)

    def test_body_larger_than_the_buffer_of_the_socket(self):
        # Guards against sending only the part that the socket accepts at once.
        async def scenario():
            limits = HttpLimits(max_body_bytes=20_000_000)
            server = HttpServer(handler=_digest, host=_HOST, port=0, limits=limits)
            async with trio.open_nursery() as nursery:
                port = await nursery.start(server.run)
                client = HttpClient(host=_HOST, port=port)
                body = b"0123456789" * 1_600_000
                request = HttpRequest(method="POST", target="/", body=body)
                for _ in range(2):
                    answer = await client.send(request, timeout_ms=20_000)
                    self.assertEqual(answer.body, hashlib.sha256(body).digest())
                await client.close()
                nursery.cancel_scope.cancel()

        trio.run(scenario)

    def test_cancelled_request_is_not_sent(self):
        # Guards against running a request whose caller was cancelled before it is sent.
        async def scenario():
            targets: list[str] = []

            async def record(request: HttpRequest) -> HttpResponse:
                targets.append(request.target)
                return HttpResponse(status=200)

            server = HttpServer(handler=record, host=_HOST, port=0)
            async with trio.open_nursery() as nursery:
                port = await nursery.start(server.run)
                client = HttpClient(host=_HOST, port=port)
                await client.send(HttpRequest(method="GET", target="/first"))
                with trio.CancelScope() as scope:
                    scope.cancel()
                    await client.send(HttpRequest(method="GET", target="/second"))
                self.assertTrue(scope.cancelled_caught)
                await client.send(HttpRequest(method="GET", target="/third"))
                self.assertEqual(targets, ["/first", "/third"])
                await client.close()
                nursery.cancel_scope.cancel()

        trio.run(scenario)

    def test_refused_connection_is_proved_not_sent(self):
        async def scenario():
            listeners = await trio.open_tcp_listeners(0, host=_HOST)
            port = listeners[0].socket.getsockname()[1]
            await listeners[0].aclose()
            client = HttpClient(host=_HOST, port=port)
            with self.assertRaises(NotSentError) as caught:
                await client.send(HttpRequest(method="GET", target="/"))
            self.assertIs(caught.exception.failure, TransportFailure.REFUSED)

        trio.run(scenario)

    def test_closed_connection_is_distinguished_from_silence(self):
        # Guards against confusing a process that has exited with a network partition.
        async def close(request: HttpRequest) -> HttpResponse:
            raise trio.BrokenResourceError

        async def keep_silent(request: HttpRequest) -> HttpResponse:
            await trio.sleep_forever()

        async def scenario(handler, failure: TransportFailure):
            async def handle(request: HttpRequest) -> HttpResponse:
                if request.target == "/connect":
                    return HttpResponse(status=200)
                return await handler(request)

            server = HttpServer(handler=handle, host=_HOST, port=0)
            async with trio.open_nursery() as nursery:
                port = await nursery.start(server.run)
                client = HttpClient(host=_HOST, port=port)
                # The time-out below must not include the time to connect.
                connect = HttpRequest(method="GET", target="/connect")
                await client.send(connect, timeout_ms=5_000.0)
                with self.assertRaises(AnswerLostError) as caught:
                    await client.send(
                        HttpRequest(method="GET", target="/"), timeout_ms=100.0
                    )
                self.assertIs(caught.exception.failure, failure)
                nursery.cancel_scope.cancel()

        table = (
            (close, TransportFailure.CLOSED),
            (keep_silent, TransportFailure.TIMED_OUT),
        )
        for handler, failure in table:
            with self.subTest(failure):
                trio.run(scenario, handler, failure)

    def test_expired_request_is_proved_not_sent(self):
        # A request whose deadline passed while it was queued must not be sent, so that
        # its outcome is "not run" and not "unknown".
        async def scenario():
            server = HttpServer(handler=_echo, host=_HOST, port=0)
            async with trio.open_nursery() as nursery:
                port = await nursery.start(server.run)
                client = HttpClient(host=_HOST, port=port)
                request = HttpRequest(method="POST", target="/")
                await client.send(request, timeout_ms=5_000)
                with self.assertRaises(NotSentError):
                    await client.send(request, timeout_ms=0)
                await client.close()
                nursery.cancel_scope.cancel()

        trio.run(scenario)

    def test_silence_after_send_is_an_unknown_outcome(self):
        # No response arrives. The request was sent, so the client must not report it
        # as not sent.
        async def scenario():
            async def hang(request: HttpRequest) -> HttpResponse:
                await trio.sleep_forever()
                raise AssertionError

            server = HttpServer(handler=hang, host=_HOST, port=0)
            async with trio.open_nursery() as nursery:
                port = await nursery.start(server.run)
                client = HttpClient(host=_HOST, port=port)
                with self.assertRaises(AnswerLostError):
                    request = HttpRequest(method="GET", target="/")
                    await client.send(request, timeout_ms=50)
                nursery.cancel_scope.cancel()

        trio.run(scenario)

    def test_body_over_the_limit_is_refused(self):
        async def scenario():
            limits = HttpLimits(max_body_bytes=10)
            server = HttpServer(handler=_echo, host=_HOST, port=0, limits=limits)
            async with trio.open_nursery() as nursery:
                port = await nursery.start(server.run)
                client = HttpClient(host=_HOST, port=port)
                request = HttpRequest(method="POST", target="/", body=b"x" * 11)
                answer = await client.send(request, timeout_ms=5_000)
                self.assertEqual(answer.status, 413)
                nursery.cancel_scope.cancel()

        trio.run(scenario)

    def test_failing_handler_ends_only_its_own_request(self):
        # Guards against an exception in one handler ending the server: its caller gets
        # status 500, and other requests are still served.
        async def scenario():
            async def fail_once(request: HttpRequest) -> HttpResponse:
                if request.path == "/bad":
                    raise KeyError("a fault in a handler")
                return HttpResponse(status=200)

            server = HttpServer(handler=fail_once, host=_HOST, port=0)
            async with trio.open_nursery() as nursery:
                port = await nursery.start(server.run)
                client = HttpClient(host=_HOST, port=port)
                for path, status in (("/bad", 500), ("/good", 200)):
                    request = HttpRequest(method="GET", target=path)
                    answer = await client.send(request, timeout_ms=5_000)
                    self.assertEqual(answer.status, status)
                nursery.cancel_scope.cancel()

        trio.run(scenario)

    def test_drain_answers_the_request_in_progress(self):
        # A shutdown during a request must not cut off its response: the server closes
        # idle connections only.
        async def scenario():
            entered = trio.Event()
            order: list[str] = []

            async def slow(request: HttpRequest) -> HttpResponse:
                entered.set()
                await trio.sleep(0.1)
                order.append("answered")
                return HttpResponse(status=200, body=b"whole")

            server = HttpServer(handler=slow, host=_HOST, port=0)
            answers = []

            async def call(port: int) -> None:
                client = HttpClient(host=_HOST, port=port)
                answers.append(await client.send(HttpRequest(method="GET", target="/")))

            async with trio.open_nursery() as nursery:
                port = await nursery.start(server.run)
                nursery.start_soon(call, port)
                await entered.wait()
                await server.drain(grace_ms=10)
                # The process exits after the drain and ends whatever still runs.
                order.append("drained")
            self.assertEqual(order, ["answered", "drained"])
            self.assertEqual(answers[0].body, b"whole")
            self.assertEqual(answers[0].get_header("connection"), "close")

        trio.run(scenario)

    def test_drain_answers_a_request_in_flight(self):
        # A client sends on a kept-alive connection just as the server begins to drain.
        # If idle connections were closed at once, the request would be cut off.
        async def scenario():
            server = HttpServer(handler=_echo, host=_HOST, port=0)
            async with trio.open_nursery() as nursery:
                port = await nursery.start(server.run)
                client = HttpClient(host=_HOST, port=port)
                request = HttpRequest(method="POST", target="/", body=b"seat")
                await client.send(request, timeout_ms=5_000)
                connection = client._idle[-1].stream
                nursery.start_soon(partial(server.drain, grace_ms=60_000))
                await trio.testing.wait_all_tasks_blocked()
                answer = await client.send(request, timeout_ms=5_000)
                self.assertEqual(answer.body, b"seat")
                self.assertEqual(answer.get_header("connection"), "close")
                self.assertNotIn(connection, [each.stream for each in client._idle])

        trio.run(scenario)

    def test_connection_that_the_server_closed_is_not_used(self):
        # A request sent on a kept-alive connection that the server closed would have an
        # unknown outcome needlessly, so the client opens a new connection.
        async def scenario():
            limits = HttpLimits(idle_timeout_ms=1)
            server = HttpServer(handler=_echo, host=_HOST, port=0, limits=limits)
            async with trio.open_nursery() as nursery:
                port = await nursery.start(server.run)
                client = HttpClient(host=_HOST, port=port)
                request = HttpRequest(method="POST", target="/", body=b"seat")
                await client.send(request, timeout_ms=5_000)
                await trio.lowlevel.wait_readable(client._idle[-1].socket)
                answer = await client.send(request, timeout_ms=5_000)
                self.assertEqual(answer.body, b"seat")
                nursery.cancel_scope.cancel()

        trio.run(scenario)
