"""HTTP requests and responses, and limits on them."""

import enum
import json
from typing import Any
from urllib.parse import parse_qsl, unquote, urlsplit

import attrs

__all__ = ["ConnectionLoss", "HttpLimits", "HttpRequest", "HttpResponse"]

Headers = tuple[tuple[str, str], ...]


class ConnectionLoss(enum.Enum):
    """Why a server aborted a connection.

    FAILED: an exception was raised. REJECTED: the limit on connections was reached.
    STALLED: the client did not read a response in time.
    """

    FAILED = "failed"
    REJECTED = "rejected"
    STALLED = "stalled"


@attrs.frozen(kw_only=True)
class HttpLimits:
    """Limits that keep a single client from exhausting the process.

    Parameters
    ----------
    max_header_bytes : int
        Maximum size of request line and headers, in bytes.
    max_body_bytes : int
        Maximum size of the body, in bytes.
    max_connections : int
        Maximum number of open connections; further ones are answered with
        status 503 at once, or closed.
    idle_timeout_ms : float
        Time-out for the next request on an open connection, and for a client to read
        a response, in ms.
    receive_timeout_ms : float
        Time-out for the receipt of a request once it has begun, in ms.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 1_048_576
    max_connections: int = 2_000
    idle_timeout_ms: float = 60_000.0
    receive_timeout_ms: float = 10_000.0


def _find_header(headers: Headers, name: str) -> str | None:
    wanted = name.lower()
    for key, value in headers:
        if key.lower() == wanted:
            return value
    return None


@attrs.frozen(kw_only=True)
class HttpRequest:
    """A complete HTTP request.

    Parameters
    ----------
    method : str
        Method, in upper case.
    target : str
        Request target, including the query.
    headers : tuple of (str, str), optional
        Header names and values.
    body : bytes, optional
        The body.
    """

    method: str
    target: str
    headers: Headers = ()
    body: bytes = b""

    @property
    def path(self) -> str:
        """Percent-decoded path of the target."""
        return unquote(urlsplit(self.target).path)

    @property
    def query(self) -> dict[str, str]:
        """Query parameters; of a repeated name the last value is used."""
        return dict(parse_qsl(urlsplit(self.target).query))

    def get_header(self, name: str) -> str | None:
        """Return the first header named ``name``, case-insensitively."""
        return _find_header(self.headers, name)

    def parse_json(self) -> Any:
        """Return the body, decoded as JSON.

        Raises
        ------
        ValueError
            If the body is not JSON in UTF-8.
        """
        return json.loads(self.body)


@attrs.frozen(kw_only=True)
class HttpResponse:
    """A complete HTTP response.

    Parameters
    ----------
    status : int
        Status code.
    headers : tuple of (str, str), optional
        Header names and values, without ``content-length``.
    body : bytes, optional
        The body.
    """

    status: int
    headers: Headers = ()
    body: bytes = b""

    @classmethod
    def from_json(
        cls, value: Any, *, status: int = 200, headers: Headers = ()
    ) -> "HttpResponse":
        """Build a response whose body is ``value`` as JSON."""
        content_type = (("content-type", "application/json"),)
        body = json.dumps(value, separators=(",", ":")).encode()
        return cls(status=status, headers=content_type + headers, body=body)

    def get_header(self, name: str) -> str | None:
        """Return the first header named ``name``, case-insensitively."""
        return _find_header(self.headers, name)

    def parse_json(self) -> Any:
        """Return the body, decoded as JSON."""
        return json.loads(self.body)
