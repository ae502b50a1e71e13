"""Registry of call handlers, and tracking of calls in progress."""

import math
from collections.abc import Awaitable, Callable

import attrs
import trio
from google.protobuf.message import Message

from trefoilhook.exceptions import OutcomeError, RequestError, TrefoilhookError
from trefoilhook.inner.frames import build_error_reply, build_frame, find_body
from trefoilhook.inner.link import Link
from trefoilhook.inner.messages_pb2 import Frame
from trefoilhook.inner.settings import InnerSettings
from trefoilhook.logs import Event, log_event
from trefoilhook.results import ResultCode

__all__ = ["Call", "CallHandler", "CallTable", "LocalCall"]


@attrs.frozen(kw_only=True)
class Call:
    """A received message and the time its sender waits for the reply.

    Parameters
    ----------
    sender_id : str
        Instance id of the sender.
    message : Message
        Request message.
    timeout_ms : float
        Time that the sender waits for the reply, counted from sending, in ms; infinite
        for a one-way message.
    """

    sender_id: str
    message: Message
    timeout_ms: float


CallHandler = Callable[[Call], Awaitable[Message]]


@attrs.define(kw_only=True, eq=False)
class LocalCall:
    """A call from an instance to itself, and its outcome."""

    call: Call
    done: trio.Event = attrs.Factory(trio.Event)
    reply: Message | None = None
    error: OutcomeError | None = None


class CallTable:
    """Handlers by message type, and the count of calls in progress.

    Parameters
    ----------
    settings : InnerSettings
        Limit on the calls in progress of one peer.
    """

    def __init__(self, *, settings: InnerSettings) -> None:
        self._settings = settings
        self._handlers: dict[str, CallHandler] = {}
        self._in_progress = 0
        self._is_draining = False
        self._idle = trio.Event()

    def register(self, message_type: type[Message], handler: CallHandler) -> None:
        """Register the handler for messages of a type."""
        self._handlers[message_type.DESCRIPTOR.full_name] = handler

    async def drain(self) -> None:
        """Refuse new calls from peers and wait for those in progress to complete."""
        self._is_draining = True
        if self._in_progress:
            await self._idle.wait()

    def accept(self, link: Link, frame: Frame, nursery: trio.Nursery) -> None:
        """Start handling a peer's call, or refuse it immediately.

        The handler keeps running if its link breaks: the sender has been told that the
        outcome is unknown, and a handler cancelled midway could leave its work half
        done.
        """
        try:
            self._check_admission(link, frame)
        except RequestError as error:
            if frame.call_id:
                link.reply(build_error_reply(frame.call_id, error))
            return
        self._in_progress += 1
        link.calls_in_progress += 1
        nursery.start_soon(self._handle_call, link, frame)

    def accept_local(self, local_call: LocalCall, nursery: trio.Nursery) -> None:
        """Start handling a call from this instance to itself."""
        self._in_progress += 1
        nursery.start_soon(self._handle_local_call, local_call)

    async def _invoke_handler(self, call: Call) -> Message:
        try:
            return await self._find_handler(call.message)(call)
        except TrefoilhookError as error:
            raise OutcomeError(str(error), code=error.code) from error
        except Exception as error:
            # An unexpected exception in one handler is logged and returned as an error
            # so that it does not stop the instance and every other call in progress.
            log_event(Event.TASK_FAILED, task="inner handler", error=repr(error))
            raise OutcomeError("the handler failed") from error

    def _check_admission(self, link: Link, frame: Frame) -> None:
        if self._is_draining and frame.call_id:
            message = "the instance is leaving"
            raise RequestError(message, code=ResultCode.SHUTTING_DOWN)
        if link.calls_in_progress >= self._settings.max_calls_in_progress:
            message = "too many calls in progress"
            raise RequestError(message, code=ResultCode.OVERLOADED)

    def _find_handler(self, message: Message) -> CallHandler:
        handler = self._handlers.get(message.DESCRIPTOR.full_name)
        if handler is None:
            detail = f"no handler for {message.DESCRIPTOR.name}"
            raise RequestError(detail, code=ResultCode.METHOD_NOT_ALLOWED)
        return handler

    async def _handle_call(self, link: Link, frame: Frame) -> None:
        try:
            reply = await self._build_reply(link, frame)
            if frame.call_id:
                link.reply(reply)
        finally:
            link.calls_in_progress -= 1
            self._record_completion()

    async def _handle_local_call(self, local_call: LocalCall) -> None:
        try:
            local_call.reply = await self._invoke_handler(local_call.call)
        except OutcomeError as error:
            local_call.error = error
        finally:
            local_call.done.set()
            self._record_completion()

    def _record_completion(self) -> None:
        self._in_progress -= 1
        if self._is_draining and not self._in_progress:
            self._idle.set()

    async def _build_reply(self, link: Link, frame: Frame) -> Frame:
        message = find_body(frame)
        if message is None:
            code = ResultCode.METHOD_NOT_ALLOWED
            return build_error_reply(
                frame.call_id, OutcomeError("unknown message", code=code)
            )
        timeout_ms = float(frame.timeout_ms) if frame.timeout_ms else math.inf
        call = Call(sender_id=link.peer_id, message=message, timeout_ms=timeout_ms)
        try:
            result = await self._invoke_handler(call)
        except OutcomeError as error:
            return build_error_reply(frame.call_id, error)
        return build_frame(result, call_id=frame.call_id, is_reply=True)
