"""Frames: the envelopes in which messages travel."""

from typing import Any

from google.protobuf.message import Message

from trefoilhook.exceptions import TrefoilhookError
from trefoilhook.inner.messages_pb2 import Frame

__all__ = [
    "build_frame",
    "build_refusal",
    "find_body",
    "find_body_name",
]

_MAX_TIMEOUT_MS = 2**32 - 1

_BODY_NAMES: dict[str, str] = {
    field.message_type.full_name: field.name
    for field in Frame.DESCRIPTOR.oneofs_by_name["body"].fields
}


def find_body_name(message_type: type[Message]) -> str:
    """Return the name of the frame's field that carries messages of a type.

    Raises
    ------
    ValueError
        If no frame carries that type.
    """
    name = _BODY_NAMES.get(message_type.DESCRIPTOR.full_name)
    if name is None:
        raise ValueError(f"no frame carries a {message_type.__name__}")
    return name


def find_body(frame: Frame) -> Message | None:
    """Return the message in a frame; none when this version doesn't know it."""
    name = frame.WhichOneof("body")
    return None if name is None else getattr(frame, name)


def build_frame(
    message: Message,
    *,
    call_id: int = 0,
    is_reply: bool = False,
    timeout_ms: float = 0.0,
) -> Frame:
    """Put a message into a frame.

    Parameters
    ----------
    message : Message
        What to carry.
    call_id : int, optional
        Number of the call; zero for a one-way message.
    is_reply : bool, optional
        Whether the frame answers the call of that number.
    timeout_ms : float, optional
        Time that the sender still waits for the reply, in ms; zero for no limit.
    """
    body: dict[str, Any] = {find_body_name(type(message)): message}
    whole_ms = min(int(timeout_ms), _MAX_TIMEOUT_MS)
    return Frame(call_id=call_id, is_reply=is_reply, timeout_ms=whole_ms, **body)


def build_refusal(call_id: int, error: TrefoilhookError) -> Frame:
    """Build the reply to a call whose handler raised ``error``."""
    return Frame(
        call_id=call_id,
        is_reply=True,
        result_number=error.code.number,
        detail=str(error),
    )
