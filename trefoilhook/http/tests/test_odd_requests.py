"""Tests of the HTTP server against odd requests, clients and handlers."""

import contextlib
import ssl
import tracemalloc
import unittest
from collections import Counter
from collections.abc import Awaitable, Callable, Iterator
from typing import Any
from unittest import mock

import trio
import trio.testing
import trustme

from trefoilhook.http import (
    ConnectionLoss,
    HttpLimits,
    HttpRequest,
    HttpResponse,
    HttpServer,
)
from trefoilhook.logs import Event

_HOST = "127.0.0.1"
_GOOD = b"GET /good HTTP/1.1\r\nhost: a\r\n\r\n"


async def answer(request: HttpRequest) -> HttpResponse:
    """Answer by path: a status with a body, a fault of the handler, or the body."""
    if request.path.startswith("/status/"):
        status = int(request.path.rpartition("/")[2])
        return HttpResponse(status=status, body=b"content")
    if request.path == "/header":
        return HttpResponse(status=200, headers=(("x-bad", "a\r\nb: c"),))
    if request.path == "/alphabet":
        return HttpResponse(status=200, headers=(("x-bad", "\u1234"),))
    if request.path == "/group":
        raise ExceptionGroup("faults", [KeyError("a"), ValueError("b")])
    return HttpResponse(status=200, body=request.body or b"content")


async def exchange(port: int, data: bytes) -> bytes:
    """Send ``data`` on a new connection and return all that is received."""
    received = b""
    stream = await trio.open_tcp_stream(_HOST, port)
    async with stream:
        await stream.send_all(data)
        with trio.move_on_after(1.0):
            async for chunk in stream:
                received += chunk
    return received


def run_with_server(
    scenario: Callable[[HttpServer], Awaitable[None]], **options: object
) -> None:
    """Run ``scenario`` against a server in virtual time."""

    async def main() -> None:
        options.setdefault("handler", answer)
        server = HttpServer(host=_HOST, port=0, **options)
        async with trio.open_nursery() as nursery:
            await nursery.start(server.run)
            await scenario(server)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0.05))


@contextlib.contextmanager
def record_events(event: Event) -> Iterator[list[dict[str, Any]]]:
    """Record the fields of the server's log lines of one event."""
    lines: list[dict[str, Any]] = []

    def record(logged: Event, **fields: Any) -> None:
        if logged is event:
            lines.append(fields)

    with mock.patch("trefoilhook.http.server.log_event", record):
        yield lines


def build(line: str, *headers: str, body: bytes = b"") -> bytes:
    """Build the bytes of a request."""
    return "\r\n".join((line, "host: a", *headers, "", "")).encode() + body


class IsolationTest(unittest.TestCase):
    """A fault in one connection ends that connection only."""

    def test_other_requests_are_served(self):
        # Guards against a request or a handler's response that ends the listener, and
        # with it every request of the process.
        table = {
            "head": build("HEAD / HTTP/1.1"),
            "head 1.0": build("HEAD / HTTP/1.0"),
            "head, pipelined": build("HEAD / HTTP/1.1") + _GOOD,
            "connect": build("CONNECT a:1 HTTP/1.1"),
            "no content": build("GET /status/204 HTTP/1.1"),
            "not modified": build("GET /status/304 HTTP/1.1"),
            "status 100": build("GET /status/100 HTTP/1.1"),
            "status 999": build("GET /status/999 HTTP/1.1"),
            "invalid header": build("GET /header HTTP/1.1"),
            "header outside ASCII": build("GET /alphabet HTTP/1.1"),
            "group of errors": build("GET /group HTTP/1.1"),
            "target that is no path": build("GET //[ HTTP/1.1"),
            "upgrade": build("GET / HTTP/1.1", "connection: upgrade", "upgrade: h2c"),
        }
        for name, request in table.items():
            with self.subTest(name):

                async def scenario(server: HttpServer, request=request) -> None:
                    await exchange(server.port, request)
                    received = await exchange(server.port, _GOOD)
                    self.assertTrue(received.startswith(b"HTTP/1.1 200 "), received)

                run_with_server(scenario)

    def test_unusable_response_is_answered(self):
        # Guards against a fault of a handler that leaves the caller without an answer.
        table = ("/status/100", "/header", "/alphabet", "/group")
        for path in table:
            with self.subTest(path):

                async def scenario(server: HttpServer, path=path) -> None:
                    received = await exchange(
                        server.port, build(f"GET {path} HTTP/1.1")
                    )
                    self.assertTrue(received.startswith(b"HTTP/1.1 500 "), received)

                with record_events(Event.HANDLER_FAILED) as lines:
                    run_with_server(scenario)
                self.assertEqual([line["path"] for line in lines], [path])

    def test_failed_connection_is_logged_and_counted(self):
        # Guards against a fault of the server that nobody sees, since it only ends one
        # connection.
        async def fail(request: HttpRequest) -> HttpResponse:
            return HttpResponse(status=200, body="no bytes")

        async def scenario(server: HttpServer) -> None:
            await exchange(server.port, _GOOD)
            await exchange(server.port, _GOOD)

        losses: list[ConnectionLoss] = []
        with record_events(Event.CONNECTION_FAILED) as lines:
            run_with_server(scenario, handler=fail, count_loss=losses.append)
        self.assertEqual(losses, [ConnectionLoss.FAILED] * 2)
        self.assertEqual(len(lines), 2)
        self.assertIn("TypeError", lines[0]["error"])

    def test_plain_bytes_on_a_tls_port(self):
        # Guards against a client without TLS that ends the listener, or is not logged.
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)

        async def scenario(server: HttpServer) -> None:
            for _ in range(2):
                await exchange(server.port, _GOOD)

        losses: list[ConnectionLoss] = []
        run_with_server(scenario, tls=context, count_loss=losses.append)
        self.assertEqual(losses, [ConnectionLoss.FAILED] * 2)


class SemanticsTest(unittest.TestCase):
    """Methods, statuses and fields as RFC 9110 and RFC 9112 define them."""

    def test_refused_requests(self):
        # Guards against a request that is run, though the server can't do what it asks.
        table = (
            ("CONNECT a:1 HTTP/1.1", (), 405),
            ("BREW / HTTP/1.1", (), 501),
            ("get / HTTP/1.1", (), 501),
            ("GET / HTTP/1.1", ("expect: 200-ok",), 417),
            ("GET / HTTP/1.0", ("expect: 200-ok",), 417),
            ("GET / HTTP/1.1", ("expect: 100-continue, more",), 417),
            ("GET / HTTP/1.1", ("expect: 100-continue", "expect: more"), 417),
            ("GET / HTTP/2.0", (), 505),
            ("PRI * HTTP/2.0", (), 505),
            ("GET / HTTP/0.9", (), 505),
            ("GET //[ HTTP/1.1", (), 400),
        )
        for line, headers, status in table:
            with self.subTest(line=line, headers=headers):
                handled: list[HttpRequest] = []

                async def take(request: HttpRequest, handled=handled) -> HttpResponse:
                    handled.append(request)
                    return HttpResponse(status=200)

                async def scenario(
                    server: HttpServer, line=line, headers=headers, status=status
                ) -> None:
                    received = await exchange(
                        server.port, build(line, *headers) + _GOOD
                    )
                    self.assertEqual(received.partition(b" ")[2][:3], b"%d" % status)
                    self.assertIn(b"connection: close", received.lower())
                    self.assertEqual(b"allow: " in received, status == 405)

                run_with_server(scenario, handler=take)
                self.assertEqual(handled, [])

    def test_answer_without_content(self):
        # Guards against content that the caller takes for the start of the next answer.
        # (request line, content-length of the answer)
        table = (
            ("HEAD / HTTP/1.1", b"7"),
            ("HEAD /status/404 HTTP/1.1", b"7"),
            ("HEAD /status/204 HTTP/1.1", None),
            ("GET /status/204 HTTP/1.1", None),
            ("GET /status/304 HTTP/1.1", None),
        )
        for line, length in table:
            with self.subTest(line):

                async def scenario(
                    server: HttpServer, line=line, length=length
                ) -> None:
                    received = await exchange(server.port, build(line) + _GOOD)
                    head, _, rest = received.partition(b"\r\n\r\n")
                    found = head.partition(b"content-length: ")[2] or None
                    self.assertEqual(found, length)
                    self.assertTrue(rest.startswith(b"HTTP/1.1 200 "), rest)
                    self.assertTrue(rest.endswith(b"\r\n\r\ncontent"), rest)

                run_with_server(scenario)

    def test_head_is_handled_as_get(self):
        # Guards against fields of a HEAD that differ from those of a GET.
        async def name_method(request: HttpRequest) -> HttpResponse:
            return HttpResponse(status=200, headers=(("x-method", request.method),))

        async def scenario(server: HttpServer) -> None:
            head = await exchange(server.port, build("HEAD / HTTP/1.1"))
            get = await exchange(server.port, build("GET / HTTP/1.1"))
            self.assertEqual(head, get)

        run_with_server(scenario, handler=name_method)

    def test_two_framings_close_the_connection(self):
        # Guards against a smuggled request: another hop may have read another length.
        both = build(
            "POST / HTTP/1.1",
            "transfer-encoding: chunked",
            "content-length: 4",
            body=b"3\r\nabc\r\n0\r\n\r\n",
        )

        async def scenario(server: HttpServer) -> None:
            received = await exchange(server.port, both + _GOOD)
            self.assertTrue(received.startswith(b"HTTP/1.1 200 "), received)
            self.assertTrue(received.endswith(b"\r\n\r\nabc"), received)
            self.assertIn(b"connection: close", received)

        run_with_server(scenario)

    def test_body_in_tiny_chunks_takes_little_memory(self):
        # Guards against a client that exhausts the memory with a body within its limit.
        chunks = 20_000
        head = build("POST / HTTP/1.1", "transfer-encoding: chunked")

        async def scenario(server: HttpServer) -> None:
            tracemalloc.start()
            received = await exchange(
                server.port, head + b"2\r\nab\r\n" * chunks + b"0\r\n\r\n"
            )
            _, peak = tracemalloc.get_traced_memory()
            tracemalloc.stop()
            self.assertTrue(received.endswith(b"ab"), received[-10:])
            self.assertLess(peak, 1_000_000)

        run_with_server(scenario)

    def test_expected_continue_is_sent(self):
        async def scenario(server: HttpServer) -> None:
            request = build(
                "POST / HTTP/1.1", "expect: 100-Continue", "content-length: 3"
            )
            async with await trio.open_tcp_stream(_HOST, server.port) as stream:
                await stream.send_all(request)
                received = await stream.receive_some()
                self.assertTrue(received.startswith(b"HTTP/1.1 100 "), received)
                await stream.send_all(b"abc")
                received = await stream.receive_some()
                self.assertTrue(received.endswith(b"abc"), received)

        run_with_server(scenario)

    def test_refusal_reaches_a_caller_that_still_sends(self):
        # Guards against a refusal that is lost: a connection closed with unread bytes
        # is reset, and a caller can't tell that from a request that was run.
        async def scenario(server: HttpServer) -> None:
            body = b"x" * 4_000_000
            headers = (f"content-length: {len(body)}",)
            request = build("POST / HTTP/1.1", *headers, body=body)
            received = b""
            async with await trio.open_tcp_stream(_HOST, server.port) as stream:
                await stream.send_all(request)
                async for chunk in stream:
                    received += chunk
            self.assertTrue(received.startswith(b"HTTP/1.1 413 "), received)

        run_with_server(scenario)


class ConnectionLimitTest(unittest.TestCase):
    """A limit on connections, and time-outs that free them."""

    def test_connection_over_the_limit_is_told_503_at_once(self):
        # Guards against a caller that waits unanswered behind connections that are
        # open, and against accepted connections without a limit.
        async def scenario(server: HttpServer) -> None:
            held = [await trio.open_tcp_stream(_HOST, server.port) for _ in range(2)]
            await trio.testing.wait_all_tasks_blocked()
            began = trio.current_time()
            for _ in range(3):
                received = await exchange(server.port, _GOOD)
                self.assertTrue(received.startswith(b"HTTP/1.1 503 "), received)
                self.assertIn(b"retry-after: ", received)
            self.assertLess(trio.current_time() - began, 0.5)
            await held[0].aclose()
            await trio.testing.wait_all_tasks_blocked()
            received = await exchange(server.port, _GOOD)
            self.assertTrue(received.startswith(b"HTTP/1.1 200 "), received)

        losses: list[ConnectionLoss] = []
        limits = HttpLimits(max_connections=2)
        with record_events(Event.CONNECTION_REJECTED) as lines:
            run_with_server(scenario, limits=limits, count_loss=losses.append)
        self.assertEqual(losses, [ConnectionLoss.REJECTED] * 3)
        self.assertEqual(len(lines), 3)

    def test_rejected_connections_are_bounded(self):
        # Guards against descriptors that run out by rejected clients that don't close.
        async def scenario(server: HttpServer) -> None:
            held = [await trio.open_tcp_stream(_HOST, server.port) for _ in range(4)]
            await trio.testing.wait_all_tasks_blocked()
            received = [await stream.receive_some() for stream in held[1:]]
            self.assertTrue(all(received[:2]), received)
            self.assertEqual(received[2], b"")
            for stream in held[1:]:
                await stream.aclose()
            await trio.testing.wait_all_tasks_blocked()
            for _ in range(3):
                told = await exchange(server.port, _GOOD)
                self.assertTrue(told.startswith(b"HTTP/1.1 503 "), told)
            await held[0].aclose()

        with mock.patch("trefoilhook.http.server._MAX_REJECTIONS", 2):
            run_with_server(scenario, limits=HttpLimits(max_connections=1))

    def test_connection_over_the_limit_is_closed_under_tls(self):
        # Guards against a handshake that a full server does for each rejected client.
        async def scenario(server: HttpServer) -> None:
            async with await trio.open_tcp_stream(_HOST, server.port):
                await trio.testing.wait_all_tasks_blocked()
                async with await trio.open_tcp_stream(_HOST, server.port) as other:
                    self.assertEqual(await other.receive_some(), b"")

        losses: list[ConnectionLoss] = []
        run_with_server(
            scenario,
            limits=HttpLimits(max_connections=1),
            tls=ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER),
            count_loss=losses.append,
        )
        self.assertEqual(losses, [ConnectionLoss.REJECTED])

    def test_silent_clients_free_their_connections(self):
        # Guards against clients that keep callers out: they send nothing, a part of a
        # request, or nothing after a request, and don't read its answer.
        async def answer_long(request: HttpRequest) -> HttpResponse:
            return HttpResponse(status=200, body=b"x" * 16_000_000)

        limits = HttpLimits(
            max_connections=1, idle_timeout_ms=5_000.0, receive_timeout_ms=1_000.0
        )
        stalled = [ConnectionLoss.STALLED]
        table = (
            (b"", False, []),
            (b"GET", False, []),
            (_GOOD, False, stalled),
            (_GOOD * 2, False, stalled),
            (b"", True, []),
        )
        for sent, is_tls, expected in table:
            with self.subTest(sent=sent, is_tls=is_tls):

                async def scenario(server: HttpServer, sent=sent) -> None:
                    async with await trio.open_tcp_stream(_HOST, server.port) as silent:
                        await silent.send_all(sent)
                        await trio.sleep(0.1)
                        self.assertEqual(server.open_connections, 1)
                        await trio.sleep(5.0)
                        self.assertEqual(server.open_connections, 0)

                losses: list[ConnectionLoss] = []
                run_with_server(
                    scenario,
                    handler=answer_long,
                    limits=limits,
                    tls=ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER) if is_tls else None,
                    count_loss=losses.append,
                )
                self.assertEqual(losses, expected)

    def test_unread_response_under_tls_frees_its_connection(self):
        authority = trustme.CA()
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        authority.issue_cert(_HOST).configure_cert(context)
        client_context = ssl.create_default_context()
        authority.configure_trust(client_context)

        async def answer_long(request: HttpRequest) -> HttpResponse:
            return HttpResponse(status=200, body=b"x" * 16_000_000)

        async def scenario(server: HttpServer) -> None:
            raw = await trio.open_tcp_stream(_HOST, server.port)
            async with raw:
                stream = trio.SSLStream(raw, client_context, server_hostname=_HOST)
                await stream.send_all(_GOOD)
                await trio.sleep(5.1)
                self.assertEqual(server.open_connections, 0)

        losses: list[ConnectionLoss] = []
        run_with_server(
            scenario,
            handler=answer_long,
            limits=HttpLimits(idle_timeout_ms=5_000.0),
            tls=context,
            count_loss=losses.append,
        )
        self.assertEqual(losses, [ConnectionLoss.STALLED])

    def test_pipelined_requests_let_others_run(self):
        # Guards against a client that keeps the event loop to itself.
        turns = 0
        requests: Counter[int] = Counter()

        async def note_turn(request: HttpRequest) -> HttpResponse:
            requests[turns] += 1
            return HttpResponse(status=200)

        async def count_turns() -> None:
            nonlocal turns
            while True:
                turns += 1
                await trio.lowlevel.checkpoint()

        async def scenario(server: HttpServer) -> None:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(count_turns)
                async with await trio.open_tcp_stream(_HOST, server.port) as stream:
                    await stream.send_all(_GOOD * 50)
                    await stream.send_eof()
                    async for _ in stream:
                        pass
                nursery.cancel_scope.cancel()

        run_with_server(scenario, handler=note_turn)
        # Tasks that are ready run in any order, so two requests may share a turn.
        self.assertEqual(requests.total(), 50)
        self.assertLessEqual(max(requests.values()), 2)
