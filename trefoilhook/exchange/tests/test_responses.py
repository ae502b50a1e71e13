"""Handling of invalid responses by the clients of the platform's services."""

import unittest

import trio

from trefoilhook.clock import build_system_clock
from trefoilhook.exceptions import (
    AnswerLostError,
    RequestError,
    StoreError,
    StoreUnavailableError,
)
from trefoilhook.http import HttpRequest, HttpResponse, HttpServer
from trefoilhook.instances import InstanceListClient
from trefoilhook.store import StoreClient
from trefoilhook.workers import CommandKind, WorkerClient, WorkerCommand

_STOP = WorkerCommand(
    kind=CommandKind.STOP, job_id="job", attempt_epoch=1, attempt_sequence=1
)


class UnexpectedResponseTest(unittest.TestCase):
    """Responses that violate the interface of the service."""

    def test_error_by_response(self):
        # A proxy or a faulty service returns an invalid response. The outcome must be
        # reported as unknown, since the request may have been carried out. A rejection
        # (4xx) is reported as a separate error.
        malformed = [
            (200, b"<html>"),
            (200, b"[]"),
            (200, b'{"other": 1}'),
            (500, b""),
            (503, b'{"error": 7}'),
            # Guards against an answer on which the parser raises RecursionError.
            (200, b"[" * 100_000),
            (500, b'{"error":' * 100_000),
            (409, b'{"error": "conflict", "current": 5}'),
        ]
        table = [
            *(
                (status, body, "swap", StoreUnavailableError)
                for status, body in malformed
            ),
            (400, b"{}", "swap", StoreError),
            *(
                (status, body, "command", AnswerLostError)
                for status, body in malformed[:-1]
            ),
            (200, b'{"results": []}', "command", AnswerLostError),
            (400, b"", "command", RequestError),
            *((status, body, "list", AnswerLostError) for status, body in malformed),
        ]
        for status, body, call, error in table:
            with self.subTest(status=status, body=body, call=call):
                trio.run(self._check, status, body, call, error)

    async def _check(self, status, body, call, error) -> None:
        async def answer(request: HttpRequest) -> HttpResponse:
            return HttpResponse(status=status, body=body)

        async with trio.open_nursery() as nursery:
            server = HttpServer(handler=answer, host="127.0.0.1", port=0)
            port = await nursery.start(server.run)
            with self.assertRaises(error) as caught:
                await self._call(call, port)
            self.assertIs(caught.exception.code, error.code)
            nursery.cancel_scope.cancel()

    async def _call(self, call: str, port: int) -> None:
        address = {
            "host": "127.0.0.1",
            "port": port,
            "clock": build_system_clock(),
            "timeout_ms": 60_000,
        }
        if call == "swap":
            await StoreClient(**address).swap("a", b"1", expected_revision=0)
        elif call == "command":
            await WorkerClient(worker_id="w1", **address).command(1, [_STOP])
        else:
            await InstanceListClient(**address).list_backends()
