"""Addresses and answers, as all of the platform's services write them."""

import re
from typing import Any

from trefoilhook.decoding import parse_table
from trefoilhook.exceptions import AnswerLostError, DecodeError
from trefoilhook.http import HttpResponse

__all__ = ["Address", "parse_address", "read_object"]

Address = tuple[str, int]

_ADDRESS = re.compile(r"([A-Za-z0-9._-]{1,253}|\[[0-9A-Fa-f:.]{2,45}\]):([0-9]{1,5})")
"""A host name or an address, and a port. No other character may pass: a host with a
space or a line break in it fails inside the library for connections, with errors that
no caller expects."""

_LAST_PORT = 65_535


def parse_address(text: str, *, least_port: int = 1) -> Address:
    """Split ``HOST:PORT``.

    Parameters
    ----------
    text : str
        The address.
    least_port : int, optional
        0 where the system may choose a port to listen at.

    Raises
    ------
    DecodeError
        If it is no address.
    """
    match = _ADDRESS.fullmatch(text)
    if match is None:
        raise DecodeError("address: not HOST:PORT")
    port = int(match[2])
    if not least_port <= port <= _LAST_PORT:
        raise DecodeError("address: no such port")
    return match[1].strip("[]"), port


def read_object(response: HttpResponse) -> dict[str, Any]:
    """Read the body of an answer as a JSON object.

    Raises
    ------
    AnswerLostError
        If it is none: the call was carried out, but what it did can't be told.
    """
    try:
        return parse_table(response.body)
    except DecodeError as error:
        raise AnswerLostError(f"unreadable answer: {error}") from error
