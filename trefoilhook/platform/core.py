"""Parsing of addresses and responses, common to all services of the platform."""

import re
from collections.abc import Mapping
from typing import Any

from trefoilhook.decoding import parse_object, read_integer
from trefoilhook.exceptions import AnswerLostError, DecodeError
from trefoilhook.http import HttpResponse

__all__ = ["Address", "parse_address", "parse_response_object", "read_birth"]

Address = tuple[str, int]

_ADDRESS = re.compile(r"([A-Za-z0-9._-]{1,253}|\[[0-9A-Fa-f:.]{2,45}\]):([0-9]{1,5})")
"""A host name or IP address, and a port. Other characters are refused: a space or line
break in a host raises unexpected errors in the connection library."""

_MAX_PORT = 65_535


def parse_address(text: str, *, min_port: int = 1) -> Address:
    """Parse an address of the form ``HOST:PORT``.

    Parameters
    ----------
    text : str
        Address to parse.
    min_port : int, optional
        Smallest valid port; 0 for a listen address with any free port.

    Raises
    ------
    DecodeError
        If the address is invalid.
    """
    match = _ADDRESS.fullmatch(text)
    if match is None:
        raise DecodeError("address: not HOST:PORT")
    host = match[1].strip("[]")
    try:
        # Name resolution does the same and raises no error of its own type.
        host.encode("idna")
    except UnicodeError as error:
        raise DecodeError("address: not a host name") from error
    port = int(match[2])
    if not min_port <= port <= _MAX_PORT:
        raise DecodeError("address: port out of range")
    return host, port


def read_birth(table: Mapping[str, Any]) -> int | None:
    """Return the start of a worker's process, in ms since the Unix epoch, if given.

    Raises
    ------
    DecodeError
        If the field is present and is not a whole number.
    """
    return read_integer(table, "born") if "born" in table else None


def parse_response_object(response: HttpResponse) -> dict[str, Any]:
    """Decode the body of a response as a JSON object.

    Raises
    ------
    AnswerLostError
        If the body is invalid: the call took effect, but its result is unknown.
    """
    try:
        return parse_object(response.body)
    except DecodeError as error:
        raise AnswerLostError(f"invalid response: {error}") from error
