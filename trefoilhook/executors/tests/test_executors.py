"""The executor client over real sockets."""

import socket
import unittest

import trio

from trefoilhook.exceptions import AnswerLostError, NotSentError
from trefoilhook.executors import ExecutorClient
from trefoilhook.http import HttpResponse, HttpServer

_HOST = "127.0.0.1"


class _FakeExecutor:
    """Minimal executor that records the requests it receives."""

    def __init__(self):
        self.requests = []
        self.health = b'{"slots": 8, "in_use": 3}'

    async def handle(self, request):
        self.requests.append(request)
        if request.path == "/health":
            return HttpResponse(status=200, body=self.health)
        headers = (("content-type", "text/plain"),)
        return HttpResponse(status=200, headers=headers, body=b"ran " + request.body)


def run_with(scenario):
    """Run a scenario with a fake executor and a client."""

    async def body():
        executor = _FakeExecutor()
        server = HttpServer(handler=executor.handle, host=_HOST, port=0)
        async with trio.open_nursery() as nursery:
            port = await nursery.start(server.run)
            client = ExecutorClient(executor_id="e", host=_HOST, port=port)
            await scenario(executor, client)
            await client.close()
            nursery.cancel_scope.cancel()

    trio.run(body)


async def send(client, **changes):
    """Send a request with default fields."""
    fields = {"content_type": "text/csv", "timeout_ms": 5_000, "request_id": "r1"}
    return await client.run(b"two", **{**fields, **changes})


class ExecutorClientTest(unittest.TestCase):
    """Requests, health checks and the permission to send."""

    def test_run_sends_the_request_id_and_returns_the_response(self):
        async def scenario(executor, client):
            answer = await send(client)
            self.assertEqual((answer.status, answer.body), (200, b"ran two"))
            self.assertEqual(answer.content_type, "text/plain")
            request = executor.requests[0]
            self.assertEqual((request.method, request.path), ("POST", "/run"))
            self.assertEqual(request.get_header("x-request-id"), "r1")
            self.assertEqual(request.get_header("content-type"), "text/csv")

        run_with(scenario)

    def test_request_without_permission_is_not_sent(self):
        # An owner loses the right to act while it waits for a connection. The check
        # immediately before sending must prevent the request and report it as not sent.
        async def scenario(executor, client):
            await send(client)
            with self.assertRaises(NotSentError):
                await send(client, may_send=lambda: False)
            await send(client, request_id="r2")
            ids = [each.get_header("x-request-id") for each in executor.requests]
            self.assertEqual(ids, ["r1", "r2"])

        run_with(scenario)

    def test_no_other_task_runs_between_the_check_and_the_send(self):
        # If other tasks could run in between, several requests could be past their
        # checks when the process is paused, and all would be sent when it resumes. The
        # first task to run after the check must find the bytes already sent.
        async def scenario():
            listener = socket.create_server((_HOST, 0))
            listener.setblocking(False)
            port = listener.getsockname()[1]
            client = ExecutorClient(executor_id="e", host=_HOST, port=port)
            checked = trio.Event()
            seen = []

            def may_send():
                checked.set()
                return True

            async def peek_connection():
                while not checked.is_set():
                    await trio.lowlevel.checkpoint()
                try:
                    accepted, _ = listener.accept()
                    accepted.setblocking(False)
                    seen.append(accepted.recv(4, socket.MSG_PEEK))
                except BlockingIOError:
                    seen.append(b"nothing")
                nursery.cancel_scope.cancel()

            async with trio.open_nursery() as nursery:
                nursery.start_soon(peek_connection)
                await send(client, may_send=may_send)
            listener.close()
            self.assertEqual(seen, [b"POST"])

        trio.run(scenario)

    def test_failed_request_resets_the_connection(self):
        # An executor reads no data, the request times out and its slot is reused. Bytes
        # left in the kernel buffers would start the request much later. A reset, unlike
        # an orderly close, discards them at both ends.
        async def scenario():
            listener = socket.create_server((_HOST, 0))
            port = listener.getsockname()[1]
            client = ExecutorClient(executor_id="e", host=_HOST, port=port)
            with self.assertRaises(AnswerLostError):
                await send(client, timeout_ms=50)
            accepted, _ = listener.accept()
            with self.assertRaises(ConnectionResetError):
                while accepted.recv(65_536):
                    pass
            listener.close()

        trio.run(scenario)

    def test_odd_health_responses(self):
        # Guards against a response that ends the process of its reader: nested too
        # deeply, or with a number that no integer can hold.
        async def scenario(executor, client):
            for bad in (
                b"[" * 100_000,
                b'{"slots": 1e999, "in_use": 0}',
                b'{"slots": NaN, "in_use": 0}',
                b'{"slots": -1, "in_use": 0}',
                b'{"slots": "8", "in_use": true}',
            ):
                executor.health = bad
                with self.subTest(bad[:20]), self.assertRaises(AnswerLostError):
                    await client.get_health(timeout_ms=5_000)

        run_with(scenario)

    def test_health(self):
        async def scenario(executor, client):
            health = await client.get_health(timeout_ms=5_000)
            self.assertEqual((health.slots, health.in_use), (8, 3))
            for bad in (b"", b"[]", b'{"slots": 8}', b'{"slots": 8, "in_use": null}'):
                executor.health = bad
                with self.subTest(bad=bad), self.assertRaises(AnswerLostError):
                    await client.get_health(timeout_ms=5_000)

        run_with(scenario)


if __name__ == "__main__":
    unittest.main()
