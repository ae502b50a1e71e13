"""Handlers of calls, and the calls that they are busy with."""

import math
from collections.abc import Awaitable, Callable

import attrs
import trio
from google.protobuf.message import Message

from trefoilhook.exceptions import OutcomeError, RequestError, TrefoilhookError
from trefoilhook.inner.frames import build_frame, build_refusal, find_body
from trefoilhook.inner.link import Link
from trefoilhook.inner.messages_pb2 import Frame
from trefoilhook.inner.settings import InnerSettings
from trefoilhook.logs import Event, log_event
from trefoilhook.results import ResultCode

__all__ = ["Call", "CallHandler", "CallTable", "OwnCall"]


@attrs.frozen(kw_only=True)
class Call:
    """A message that arrived and how long its sender waits for the reply.

    Parameters
    ----------
    sender_id : str
        Instance id of the sender.
    message : Message
        What was sent.
    timeout_ms : float
        Time that the sender still waited when it sent, in ms; infinite for a one-way
        message.
    """

    sender_id: str
    message: Message
    timeout_ms: float


CallHandler = Callable[[Call], Awaitable[Message]]


@attrs.define(kw_only=True, eq=False)
class OwnCall:
    """A call of an instance to itself, and its outcome."""

    call: Call
    done: trio.Event = attrs.Factory(trio.Event)
    reply: Message | None = None
    error: OutcomeError | None = None


class CallTable:
    """Handlers by message type, and the number of calls in progress.

    Parameters
    ----------
    settings : InnerSettings
        Cap of the calls in progress.
    """

    def __init__(self, *, settings: InnerSettings) -> None:
        self._settings = settings
        self._handlers: dict[str, CallHandler] = {}
        self._in_progress = 0
        self._is_draining = False
        self._idle = trio.Event()

    def register(self, message_type: type[Message], handler: CallHandler) -> None:
        """Let ``handler`` answer the messages of a type."""
        self._handlers[message_type.DESCRIPTOR.full_name] = handler

    async def drain(self) -> None:
        """Refuse further calls of peers and wait until all in progress are answered."""
        self._is_draining = True
        if self._in_progress:
            await self._idle.wait()

    def accept(self, link: Link, frame: Frame, nursery: trio.Nursery) -> None:
        """Begin to answer a peer's call, or refuse it at once.

        The handler runs on when its link breaks: whoever sent the call was told that
        its outcome is unknown, and half of a handler would be worse than the whole.
        """
        try:
            self._check_room(link, frame)
        except RequestError as error:
            if frame.call_id:
                link.reply(build_refusal(frame.call_id, error))
            return
        self._in_progress += 1
        link.calls_in_progress += 1
        nursery.start_soon(self._answer, link, frame)

    def accept_own(self, own: OwnCall, nursery: trio.Nursery) -> None:
        """Begin to answer a call of this instance to itself."""
        self._in_progress += 1
        nursery.start_soon(self._answer_own, own)

    async def _run(self, call: Call) -> Message:
        try:
            return await self._find_handler(call.message)(call)
        except TrefoilhookError as error:
            raise OutcomeError(str(error), code=error.code) from error
        except Exception as error:
            # Guards against one faulty handler taking down the instance and with it
            # every call in progress: the fault is logged and answered as such.
            log_event(Event.TASK_FAILED, task="inner handler", error=repr(error))
            raise OutcomeError("the handler failed") from error

    def _check_room(self, link: Link, frame: Frame) -> None:
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

    async def _answer(self, link: Link, frame: Frame) -> None:
        try:
            reply = await self._build_reply(link, frame)
            if frame.call_id:
                link.reply(reply)
        finally:
            link.calls_in_progress -= 1
            self._count_end()

    async def _answer_own(self, own: OwnCall) -> None:
        try:
            own.reply = await self._run(own.call)
        except OutcomeError as error:
            own.error = error
        finally:
            own.done.set()
            self._count_end()

    def _count_end(self) -> None:
        self._in_progress -= 1
        if self._is_draining and not self._in_progress:
            self._idle.set()

    async def _build_reply(self, link: Link, frame: Frame) -> Frame:
        message = find_body(frame)
        if message is None:
            code = ResultCode.METHOD_NOT_ALLOWED
            return build_refusal(
                frame.call_id, OutcomeError("unknown message", code=code)
            )
        timeout_ms = float(frame.timeout_ms) if frame.timeout_ms else math.inf
        call = Call(sender_id=link.peer_id, message=message, timeout_ms=timeout_ms)
        try:
            answer = await self._run(call)
        except OutcomeError as error:
            return build_refusal(frame.call_id, error)
        return build_frame(answer, call_id=frame.call_id, is_reply=True)
