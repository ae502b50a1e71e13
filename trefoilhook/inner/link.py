"""One stream to a peer, the calls that wait on it and the frames it brought."""

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


def _open_reply(reply: Frame) -> Message:
    """Return a reply's message, or raise what the handler answered instead."""
    if reply.result_number:
        raise OutcomeError(reply.detail, code=_find_code(reply.result_number))
    body = find_body(reply)
    if body is None:
        raise OutcomeError("the reply has no body that this version knows")
    return body


def _find_code(number: int) -> ResultCode:
    try:
        return ResultCode.from_number(number)
    except ValueError:
        return ResultCode.INTERNAL


class Link:
    """State of one stream, from its opening to its end.

    Parameters
    ----------
    peer_id : str
        Instance id of the other end.
    settings : InnerSettings
        Caps of queues.
    cut : callable
        Cuts the connection below at once.
    """

    def __init__(
        self, *, peer_id: str, settings: InnerSettings, cut: Callable[[], None]
    ) -> None:
        self.peer_id = peer_id
        self.queue = OutboundQueue(settings=settings)
        self.calls_in_progress = 0
        self.is_open = True
        self._cut = cut
        self._pending: dict[int, _PendingCall] = {}
        self._last_call_id = 0
        self._heartbeat: QueuedFrame | None = None
        # Unbounded without harm: the dispatcher never waits for anything else, so it
        # empties the channel each time that trio's scheduler comes round.
        self._inbound_send, self.inbound = trio.open_memory_channel[Batch](float("inf"))

    @property
    def pending_calls(self) -> int:
        """Number of own calls that wait for their replies."""
        return len(self._pending)

    def deliver(self, batch: Batch) -> None:
        """Pass on a batch that the stream brought; called from asyncio."""
        self._inbound_send.send_nowait(batch)

    def close(self) -> None:
        """Cut the connection and take no further calls."""
        if not self.is_open:
            return
        self.is_open = False
        self._cut()
        self._inbound_send.close()

    def fail_pending(self) -> None:
        """Fail the calls that wait; called once the last batch was dispatched."""
        for pending in self._pending.values():
            pending.done.set()
        self._pending.clear()

    def offer_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Queue a heartbeat, unless the previous one still waits."""
        if self._heartbeat is not None and not self._heartbeat.is_taken:
            return
        self._heartbeat = self.queue.put(build_frame(heartbeat), is_bounded=False)

    def tell(self, message: Message) -> bool:
        """Queue a one-way message; tell whether it was taken."""
        if not self.is_open:
            return False
        try:
            self.queue.put(build_frame(message))
        except NotSentError:
            return False
        return True

    def reply(self, frame: Frame) -> None:
        """Queue a reply, when there is still somebody to read it."""
        if self.is_open:
            self.queue.put(frame, is_bounded=False)

    def resolve(self, reply: Frame) -> None:
        """Hand a reply to its call; one that nobody waits for is dropped."""
        pending = self._pending.pop(reply.call_id, None)
        if pending is not None:
            pending.reply = reply
            pending.done.set()

    async def call(self, message: Message, *, timeout_ms: float) -> Message:
        """Send a message and return the reply to it.

        Parameters
        ----------
        message : Message
            What to send.
        timeout_ms : float
            Longest time to wait for the reply, in ms.

        Raises
        ------
        NotSentError
            If the message provably didn't leave.
        AnswerLostError
            If it may have left, and no reply came.
        OutcomeError
            If the handler refused; with its code.
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
            is_proved_unsent = self.queue.withdraw(pending.queued)
        if pending.reply is not None:
            return _open_reply(pending.reply)
        raise self._explain_failure(pending, is_proved_unsent=is_proved_unsent)

    def _explain_failure(
        self, pending: _PendingCall, *, is_proved_unsent: bool
    ) -> NotSentError | AnswerLostError:
        # Guards against a second run: when a link dies with calls on it, a caller who
        # is told "not run" sends again. Only a frame that the writer never took is
        # proved not to have left; for any other the outcome is unknown.
        if is_proved_unsent:
            return NotSentError(f"not sent to {self.peer_id}")
        if pending.done.is_set():
            return AnswerLostError(f"the link to {self.peer_id} broke")
        message = f"no answer from {self.peer_id} in time"
        return AnswerLostError(message, code=ResultCode.DEADLINE_AFTER_SEND)
