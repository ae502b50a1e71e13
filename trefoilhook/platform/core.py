"""Addresses and answers, as all of the platform's services write them."""

from typing import Any

from trefoilhook.exceptions import AnswerLostError
from trefoilhook.http import HttpResponse

__all__ = ["Address", "parse_address", "read_object"]

Address = tuple[str, int]


def parse_address(text: str) -> Address:
    """Split ``HOST:PORT``.

    Raises
    ------
    ValueError
        If there is no port.
    """
    host, separator, port = text.rpartition(":")
    if not separator:
        raise ValueError(f"no port in {text!r}")
    return host, int(port)


def read_object(response: HttpResponse) -> dict[str, Any]:
    """Read the body of an answer as a JSON object.

    Raises
    ------
    AnswerLostError
        If it is none: the call was carried out, but what it did can't be told.
    """
    try:
        value = response.parse_json()
    except ValueError as error:
        raise AnswerLostError("unreadable answer") from error
    if not isinstance(value, dict):
        raise AnswerLostError("the answer is no JSON object")
    return value
