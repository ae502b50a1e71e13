"""State of one stream to a peer: pending calls, outbound queue, received batches."""

from collections.abc import Callable

import attrs
import trio
from google.protobuf.message import Message

from trefoilhook.exceptions import AnswerLostError, NotSentError, OutcomeError
from trefoilhook.inner.frames import build_frame, find_body
from trefoilhook.inner.messages_pb2 import Batch, Frame, Heartbeat
from trefoilhook.inner.outbound import OutboundQueue, QueuedFrame
from trefoilhook.inner.settings import InnerSettings
from trefoilhook.results import ResultCode

__all__ = ["Link"]

_MS_PER_S = 1000.0


@attrs.define(kw_only=True, eq=False)
class _PendingCall:
    queued: QueuedFrame
    done: trio.Event = attrs.Factory(trio.Event)
    reply: Frame | None = None


def _unwrap_reply(reply: Frame) -> Message:
    """Return the message in a reply, or raise the error that the reply carries."""
    if reply.result_number:
        raise OutcomeError(reply.detail, code=_decode_result_code(reply.result_number))
    body = find_body(reply)
    if body is None:
        raise OutcomeError("the reply has no body known to this version")
    return body


def _decode_result_code(number: int) -> ResultCode:
    try:
        return ResultCode.from_number(number)
    except ValueError:
        return ResultCode.INTERNAL


class Link:
    """State of one open stream to a peer.

    Parameters
    ----------
    peer_id : str
        Instance id of the remote end.
    settings : InnerSettings
        Queue limits.
    abort : callable
        Aborts the underlying connection immediately.
    """

    def __init__(
        self, *, peer_id: str, settings: InnerSettings, abort: Callable[[], None]
    ) -> None:
        self.peer_id = peer_id
        self.queue = OutboundQueue(settings=settings)
        self.calls_in_progress = 0
        self.is_open = True
        self._abort = abort
        self._pending: dict[int, _PendingCall] = {}
        self._last_call_id = 0
        self._last_heartbeat: QueuedFrame | None = None
        # Unbounded because the dispatcher waits on nothing else and drains the channel
        # on every pass of trio's scheduler.
        self._inbound_send, self.inbound = trio.open_memory_channel[Batch](float("inf"))

    @property
    def pending_calls(self) -> int:
        """Number of outgoing calls that are waiting for a reply."""
        return len(self._pending)

    def deliver(self, batch: Batch) -> None:
        """Hand a received batch to the dispatcher; called from asyncio."""
        self._inbound_send.send_nowait(batch)

    def close(self) -> None:
        """Abort the connection and accept no further calls."""
        if not self.is_open:
            return
        self.is_open = False
        self._abort()
        self._inbound_send.close()

    def fail_pending(self) -> None:
        """Fail all pending calls; called after the last batch was dispatched."""
        for pending in self._pending.values():
            pending.done.set()
        self._pending.clear()

    def queue_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Queue a heartbeat, unless the previous one is still queued."""
        if self._last_heartbeat is not None and not self._last_heartbeat.is_taken:
            return
        self._last_heartbeat = self.queue.put(build_frame(heartbeat), is_bounded=False)

    def send_one_way(self, message: Message) -> bool:
        """Queue a one-way message; return whether it was queued."""
        if not self.is_open:
            return False
        try:
            self.queue.put(build_frame(message))
        except NotSentError:
            return False
        return True

    def reply(self, frame: Frame) -> None:
        """Queue a reply; dropped if the link is closed."""
        if self.is_open:
            self.queue.put(frame, is_bounded=False)

    def resolve(self, reply: Frame) -> None:
        """Complete the call that a reply belongs to; drop it if no call is pending."""
        pending = self._pending.pop(reply.call_id, None)
        if pending is not None:
            pending.reply = reply
            pending.done.set()

    async def call(self, message: Message, *, timeout_ms: float) -> Message:
        """Send a message and return the reply to it.

        Parameters
        ----------
        message : Message
            Request message.
        timeout_ms : float
            Maximum time to wait for the reply, in ms.

        Raises
        ------
        NotSentError
            If the message was certainly not sent.
        AnswerLostError
            If the message may have been sent and no reply was received.
        OutcomeError
            If the handler raised an error; carries its code.
        """
        if not self.is_open:
            raise NotSentError(f"the link to {self.peer_id} is down")
        self._last_call_id += 1
        call_id = self._last_call_id
        frame = build_frame(message, call_id=call_id, timeout_ms=timeout_ms)
        pending = _PendingCall(queued=self.queue.put(frame))
        self._pending[call_id] = pending
        try:
            with trio.move_on_after(timeout_ms / _MS_PER_S):
                await pending.done.wait()
        finally:
            self._pending.pop(call_id, None)
            is_proved_unsent = self.queue.cancel(pending.queued)
        if pending.reply is not None:
            return _unwrap_reply(pending.reply)
        raise self._explain_failure(pending, is_proved_unsent=is_proved_unsent)

    def _explain_failure(
        self, pending: _PendingCall, *, is_proved_unsent: bool
    ) -> NotSentError | AnswerLostError:
        # Prevents a request from running twice when a link breaks with calls pending:
        # a caller that is told "not run" retries. Only a frame that the writer never
        # took from the queue is certainly unsent; any other outcome is unknown.
        if is_proved_unsent:
            return NotSentError(f"the call to {self.peer_id} was not sent")
        if pending.done.is_set():
            return AnswerLostError(
                f"the link to {self.peer_id} closed before the reply"
            )
        message = f"no reply from {self.peer_id} before the call timed out"
        return AnswerLostError(message, code=ResultCode.DEADLINE_AFTER_SEND)
