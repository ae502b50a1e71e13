"""A small HTTP/1.1 server and client over asyncio."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import parse_qsl, urlsplit

Headers = dict[str, str]


class DroppedError(Exception):
    """Raised by a handler whose channel ends without an answer."""


class Request:
    """A request as received.

    Parameters
    ----------
    method, target : str
        Request line.
    headers : dict of str to str
        Fields, with names in lower case.
    body : bytes
        The body.
    """

    def __init__(self, method: str, target: str, headers: Headers, body: bytes) -> None:
        parts = urlsplit(target)
        self.method = method
        self.path = parts.path
        self.query = dict(parse_qsl(parts.query, keep_blank_values=True))
        self.headers = headers
        self.body = body

    def parse(self) -> Any:
        """Return the body as JSON; an empty one is an empty object."""
        return json.loads(self.body) if self.body else {}


Answer = tuple[int, Any]
Handler = Callable[[Request], Awaitable[Answer]]


async def _read_message(
    reader: asyncio.StreamReader,
) -> tuple[str, Headers, bytes] | None:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    headers: Headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    try:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return first, headers, body


async def serve(handler: Handler, *, port: int = 0) -> asyncio.Server:
    """Serve requests on a loopback port; return the server."""

    async def serve_channel(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                message = await _read_message(reader)
                if message is None:
                    return
                first, headers, body = message
                method, target, _ = first.split(" ", 2)
                status, value = await handler(Request(method, target, headers, body))
                data = b"" if value is None else json.dumps(value).encode()
                head = (
                    f"HTTP/1.1 {status} \r\ncontent-type: application/json\r\n"
                    f"content-length: {len(data)}\r\n\r\n"
                )
                writer.write(head.encode() + data)
                await writer.drain()
        except (DroppedError, ConnectionError, asyncio.CancelledError):
            # Cancelled only at the end of the script.
            return
        finally:
            writer.close()

    return await asyncio.start_server(serve_channel, "127.0.0.1", port)


def get_port(server: asyncio.Server) -> int:
    """Return the port of a server."""
    return int(server.sockets[0].getsockname()[1])


async def call(
    port: int,
    method: str,
    target: str,
    *,
    host: str,
    body: Any = None,
    timeout_s: float = 3.0,
) -> tuple[int, Any]:
    """Send one request over a new channel; status 0 stands for no answer."""
    data = b"" if body is None else json.dumps(body).encode()
    head = (
        f"{method} {target} HTTP/1.1\r\nhost: {host}\r\n"
        f"content-type: application/json\r\ndeadline-ms: {int(timeout_s * 1000)}\r\n"
        f"content-length: {len(data)}\r\nconnection: close\r\n\r\n"
    )
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(head.encode() + data)
            await writer.drain()
            message = await _read_message(reader)
    except (OSError, TimeoutError):
        return 0, None
    finally:
        if writer is not None:
            writer.close()
    if message is None:
        return 0, None
    first, _, content = message
    return int(first.split(" ")[1]), json.loads(content) if content else None
