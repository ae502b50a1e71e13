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
_VALID_REQUEST = b"GET /good HTTP/1.1\r\nhost: a\r\n\r\n"


async def answer(request: HttpRequest) -> HttpResponse:
    """Return a given status, an invalid response, an exception or the body, by path."""
    if request.path.startswith("/status/"):
        status = int(request.path.rpartition("/")[2])
        return HttpResponse(status=status, body=b"content")
    if request.path == "/invalid-header":
        return HttpResponse(status=200, headers=(("x-bad", "a\r\nb: c"),))
    if request.path == "/non-ascii-header":
        return HttpResponse(status=200, headers=(("x-bad", "\u1234"),))
    if request.path == "/exception-group":
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
    """Record the fields of the lines that the server logs for one event."""
    lines: list[dict[str, Any]] = []

    def record(logged: Event, **fields: Any) -> None:
        if logged is event:
            lines.append(fields)

    with mock.patch("trefoilhook.http.server.log_event", record):
        yield lines


def build_request(line: str, *headers: str, body: bytes = b"") -> bytes:
    """Build the bytes of a request."""
    return "\r\n".join((line, "host: a", *headers, "", "")).encode() + body


class IsolationTest(unittest.TestCase):
    """A failure in one connection ends only that connection."""

    def test_other_requests_are_served(self):
        # Guards against a request or a handler's response that ends the listener and
        # all other requests of the process.
        table = {
            "head": build_request("HEAD / HTTP/1.1"),
            "head 1.0": build_request("HEAD / HTTP/1.0"),
            "head, pipelined": build_request("HEAD / HTTP/1.1") + _VALID_REQUEST,
            "connect": build_request("CONNECT a:1 HTTP/1.1"),
            "no content": build_request("GET /status/204 HTTP/1.1"),
            "not modified": build_request("GET /status/304 HTTP/1.1"),
            "status 100": build_request("GET /status/100 HTTP/1.1"),
            "status 999": build_request("GET /status/999 HTTP/1.1"),
            "invalid header": build_request("GET /invalid-header HTTP/1.1"),
            "header outside ASCII": build_request("GET /non-ascii-header HTTP/1.1"),
            "exception group": build_request("GET /exception-group HTTP/1.1"),
            "invalid target": build_request("GET //[ HTTP/1.1"),
            "upgrade": build_request(
                "GET / HTTP/1.1", "connection: upgrade", "upgrade: h2c"
            ),
        }
        for name, request in table.items():
            with self.subTest(name):

                async def scenario(server: HttpServer, request=request) -> None:
                    await exchange(server.port, request)
                    received = await exchange(server.port, _VALID_REQUEST)
                    self.assertTrue(received.startswith(b"HTTP/1.1 200 "), received)

                run_with_server(scenario)

    def test_unusable_response_is_answered(self):
        # Guards against a handler's failure that leaves the client without a response.
        table = (
            "/status/100",
            "/invalid-header",
            "/non-ascii-header",
            "/exception-group",
        )
        for path in table:
            with self.subTest(path):

                async def scenario(server: HttpServer, path=path) -> None:
                    received = await exchange(
                        server.port, build_request(f"GET {path} HTTP/1.1")
                    )
                    self.assertTrue(received.startswith(b"HTTP/1.1 500 "), received)

                with record_events(Event.HANDLER_FAILED) as lines:
                    run_with_server(scenario)
                self.assertEqual([line["path"] for line in lines], [path])

    def test_failed_connection_is_logged_and_counted(self):
        # Guards against a failure that is neither logged nor counted because it ends
        # only one connection.
        async def fail(request: HttpRequest) -> HttpResponse:
            return HttpResponse(status=200, body="no bytes")

        async def scenario(server: HttpServer) -> None:
            await exchange(server.port, _VALID_REQUEST)
            await exchange(server.port, _VALID_REQUEST)

        losses: list[ConnectionLoss] = []
        with record_events(Event.CONNECTION_FAILED) as lines:
            run_with_server(scenario, handler=fail, count_loss=losses.append)
        self.assertEqual(losses, [ConnectionLoss.FAILED] * 2)
        self.assertEqual(len(lines), 2)
        self.assertIn("TypeError", lines[0]["error"])

    def test_plain_bytes_on_a_tls_port(self):
        # Guards against a client without TLS that ends the listener or isn't counted.
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)

        async def scenario(server: HttpServer) -> None:
            for _ in range(2):
                await exchange(server.port, _VALID_REQUEST)

        losses: list[ConnectionLoss] = []
        run_with_server(scenario, tls=context, count_loss=losses.append)
        self.assertEqual(losses, [ConnectionLoss.FAILED] * 2)


class SemanticsTest(unittest.TestCase):
    """Methods, statuses and header fields as defined by RFC 9110 and RFC 9112."""

    def test_refused_requests(self):
        # Guards against handling a request that the server doesn't support.
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

                async def record_request(
                    request: HttpRequest, handled=handled
                ) -> HttpResponse:
                    handled.append(request)
                    return HttpResponse(status=200)

                async def scenario(
                    server: HttpServer, line=line, headers=headers, status=status
                ) -> None:
                    received = await exchange(
                        server.port, build_request(line, *headers) + _VALID_REQUEST
                    )
                    self.assertEqual(received.partition(b" ")[2][:3], b"%d" % status)
                    self.assertIn(b"connection: close", received.lower())
                    self.assertEqual(b"allow: " in received, status == 405)

                run_with_server(scenario, handler=record_request)
                self.assertEqual(handled, [])

    def test_answer_without_content(self):
        # Guards against content that a client reads as part of the next response.
        # (request line, content-length of the response)
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
                    received = await exchange(
                        server.port, build_request(line) + _VALID_REQUEST
                    )
                    head, _, rest = received.partition(b"\r\n\r\n")
                    found = head.partition(b"content-length: ")[2] or None
                    self.assertEqual(found, length)
                    self.assertTrue(rest.startswith(b"HTTP/1.1 200 "), rest)
                    self.assertTrue(rest.endswith(b"\r\n\r\ncontent"), rest)

                run_with_server(scenario)

    def test_head_is_handled_as_get(self):
        # Guards against header fields that differ between HEAD and GET.
        async def name_method(request: HttpRequest) -> HttpResponse:
            return HttpResponse(status=200, headers=(("x-method", request.method),))

        async def scenario(server: HttpServer) -> None:
            head = await exchange(server.port, build_request("HEAD / HTTP/1.1"))
            get = await exchange(server.port, build_request("GET / HTTP/1.1"))
            self.assertEqual(head, get)

        run_with_server(scenario, handler=name_method)

    def test_two_framings_close_the_connection(self):
        # Guards against request smuggling: a proxy may have used the other length.
        both = build_request(
            "POST / HTTP/1.1",
            "transfer-encoding: chunked",
            "content-length: 4",
            body=b"3\r\nabc\r\n0\r\n\r\n",
        )

        async def scenario(server: HttpServer) -> None:
            received = await exchange(server.port, both + _VALID_REQUEST)
            self.assertTrue(received.startswith(b"HTTP/1.1 200 "), received)
            self.assertTrue(received.endswith(b"\r\n\r\nabc"), received)
            self.assertIn(b"connection: close", received)

        run_with_server(scenario)

    def test_body_in_tiny_chunks_takes_little_memory(self):
        # Guards against a client that exhausts memory within the limit on bodies.
        chunks = 20_000
        head = build_request("POST / HTTP/1.1", "transfer-encoding: chunked")

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
            request = build_request(
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
        # Guards against a lost refusal: closing a connection with unread data resets
        # it, and the client can't tell that from a request that was handled.
        async def scenario(server: HttpServer) -> None:
            body = b"x" * 4_000_000
            headers = (f"content-length: {len(body)}",)
            request = build_request("POST / HTTP/1.1", *headers, body=body)
            received = b""
            async with await trio.open_tcp_stream(_HOST, server.port) as stream:
                await stream.send_all(request)
                async for chunk in stream:
                    received += chunk
            self.assertTrue(received.startswith(b"HTTP/1.1 413 "), received)

        run_with_server(scenario)


class ConnectionLimitTest(unittest.TestCase):
    """The limit on connections, and the time-outs that close them."""

    def test_connection_over_the_limit_is_told_503_at_once(self):
        # Guards against a client that waits unanswered until another connection ends,
        # and against an unlimited number of accepted connections.
        async def scenario(server: HttpServer) -> None:
            held = [await trio.open_tcp_stream(_HOST, server.port) for _ in range(2)]
            await trio.testing.wait_all_tasks_blocked()
            began = trio.current_time()
            for _ in range(3):
                received = await exchange(server.port, _VALID_REQUEST)
                self.assertTrue(received.startswith(b"HTTP/1.1 503 "), received)
                self.assertIn(b"retry-after: ", received)
            self.assertLess(trio.current_time() - began, 0.5)
            await held[0].aclose()
            await trio.testing.wait_all_tasks_blocked()
            received = await exchange(server.port, _VALID_REQUEST)
            self.assertTrue(received.startswith(b"HTTP/1.1 200 "), received)

        losses: list[ConnectionLoss] = []
        limits = HttpLimits(max_connections=2)
        with record_events(Event.CONNECTION_REJECTED) as lines:
            run_with_server(scenario, limits=limits, count_loss=losses.append)
        self.assertEqual(losses, [ConnectionLoss.REJECTED] * 3)
        self.assertEqual(len(lines), 3)

    def test_rejected_connections_are_bounded(self):
        # Guards against rejected clients that exhaust file descriptors by not closing.
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
                response = await exchange(server.port, _VALID_REQUEST)
                self.assertTrue(response.startswith(b"HTTP/1.1 503 "), response)
            await held[0].aclose()

        with mock.patch("trefoilhook.http.server._MAX_REJECTIONS", 2):
            run_with_server(scenario, limits=HttpLimits(max_connections=1))

    def test_connection_over_the_limit_is_closed_under_tls(self):
        # Guards against the cost of a TLS handshake for each rejected client.
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
        # Guards against clients that hold connections indefinitely: they send nothing
        # or a part of a request, or don't read the response.
        async def answer_long(request: HttpRequest) -> HttpResponse:
            return HttpResponse(status=200, body=b"x" * 16_000_000)

        limits = HttpLimits(
            max_connections=1, idle_timeout_ms=5_000.0, receive_timeout_ms=1_000.0
        )
        stalled = [ConnectionLoss.STALLED]
        table = (
            (b"", False, []),
            (b"GET", False, []),
            (_VALID_REQUEST, False, stalled),
            (_VALID_REQUEST * 2, False, stalled),
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
                await stream.send_all(_VALID_REQUEST)
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
        # Guards against a client that monopolizes the event loop.
        turns = 0
        requests: Counter[int] = Counter()

        async def count_request(request: HttpRequest) -> HttpResponse:
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
                    await stream.send_all(_VALID_REQUEST * 50)
                    await stream.send_eof()
                    async for _ in stream:
                        pass
                nursery.cancel_scope.cancel()

        run_with_server(scenario, handler=count_request)
        # Ready tasks run in any order, so two requests may be handled in one turn.
        self.assertEqual(requests.total(), 50)
        self.assertLessEqual(max(requests.values()), 2)
