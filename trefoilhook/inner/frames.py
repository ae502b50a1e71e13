"""Encoding of messages into frames and back."""

from typing import Any

from google.protobuf.message import Message

from trefoilhook.exceptions import TrefoilhookError
from trefoilhook.inner.messages_pb2 import Frame

__all__ = [
    "build_frame",
    "build_error_reply",
    "find_body",
    "find_body_field",
]

_MAX_TIMEOUT_MS = 2**32 - 1

_BODY_FIELDS: dict[str, str] = {
    field.message_type.full_name: field.name
    for field in Frame.DESCRIPTOR.oneofs_by_name["body"].fields
}


def find_body_field(message_type: type[Message]) -> str:
    """Return the name of the ``Frame`` field that holds messages of a type.

    Raises
    ------
    ValueError
        If ``Frame`` has no field for that type.
    """
    name = _BODY_FIELDS.get(message_type.DESCRIPTOR.full_name)
    if name is None:
        raise ValueError(f"Frame has no field for {message_type.__name__}")
    return name


def find_body(frame: Frame) -> Message | None:
    """Return the message in a frame; None if its type is unknown to this version."""
    name = frame.WhichOneof("body")
    return None if name is None else getattr(frame, name)


def build_frame(
    message: Message,
    *,
    call_id: int = 0,
    is_reply: bool = False,
    timeout_ms: float = 0.0,
) -> Frame:
    """Wrap a message in a frame.

    Parameters
    ----------
    message : Message
        Body of the frame.
    call_id : int, optional
        Id of the call; zero for a one-way message.
    is_reply : bool, optional
        Whether the frame is the reply to that call.
    timeout_ms : float, optional
        Remaining time that the sender waits for the reply, in ms; zero for no limit.
    """
    body: dict[str, Any] = {find_body_field(type(message)): message}
    rounded_timeout_ms = min(int(timeout_ms), _MAX_TIMEOUT_MS)
    return Frame(
        call_id=call_id, is_reply=is_reply, timeout_ms=rounded_timeout_ms, **body
    )


def build_error_reply(call_id: int, error: TrefoilhookError) -> Frame:
    """Build the reply to a call that failed with ``error``."""
    return Frame(
        call_id=call_id,
        is_reply=True,
        result_number=error.code.number,
        detail=str(error),
    )
