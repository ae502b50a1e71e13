"""Bounded queue of outbound frames for one peer."""

import asyncio
from collections import deque

import attrs

from trefoilhook.exceptions import NotSentError
from trefoilhook.inner.messages_pb2 import Batch, Frame
from trefoilhook.inner.settings import InnerSettings
from trefoilhook.results import ResultCode

__all__ = ["OutboundQueue", "QueuedFrame"]


@attrs.define(kw_only=True, eq=False)
class QueuedFrame:
    """A queued frame and its send status.

    Parameters
    ----------
    frame : Frame
        Frame to send.
    size_bytes : int
        Size of the frame, in bytes.
    is_taken : bool, optional
        Whether it was handed to the transport, and so may have been sent.
    is_cancelled : bool, optional
        Whether its sender cancelled it before it was taken; it is then never sent.
    """

    frame: Frame
    size_bytes: int
    is_taken: bool = False
    is_cancelled: bool = False


class OutboundQueue:
    """Queue of frames for the writer task of a link.

    Trio tasks add frames and one asyncio task removes them. Both run in the same
    thread, so no locking is needed; the asyncio event only wakes the writer.

    Parameters
    ----------
    settings : InnerSettings
        Limits on the size of the queue and of a batch.
    """

    def __init__(self, *, settings: InnerSettings) -> None:
        self._settings = settings
        self._queued_frames: deque[QueuedFrame] = deque()
        self._queued_bytes = 0
        self._wake = asyncio.Event()
        self._is_writer_waiting = False

    @property
    def is_flushed(self) -> bool:
        """Whether the queue is empty and the writer is idle."""
        return not self._queued_frames and self._is_writer_waiting

    def put(self, frame: Frame, *, is_bounded: bool = True) -> QueuedFrame:
        """Append a frame.

        Parameters
        ----------
        frame : Frame
            Frame to send.
        is_bounded : bool, optional
            Whether the queue limits apply. They do not apply to replies: the number of
            replies is bounded by the calls in progress, and dropping one would turn a
            known outcome into an unknown one.

        Raises
        ------
        NotSentError
            With the code ``OVERLOADED``, if the queue is full.
        """
        if is_bounded and self._is_full():
            message = "the outbound queue to the peer is full"
            raise NotSentError(message, code=ResultCode.OVERLOADED)
        queued = QueuedFrame(frame=frame, size_bytes=frame.ByteSize())
        self._queued_frames.append(queued)
        self._queued_bytes += queued.size_bytes
        if not self._wake.is_set():
            self._wake.set()
        return queued

    def cancel(self, queued: QueuedFrame) -> bool:
        """Cancel a frame; return whether it is certain never to be sent."""
        if queued.is_taken:
            return False
        queued.is_cancelled = True
        return True

    def take_batch(self) -> Batch | None:
        """Remove the frames of one batch; return None if the queue is empty."""
        frames: list[Frame] = []
        size = 0
        while self._queued_frames and len(frames) < self._settings.max_batch_frames:
            if frames and size >= self._settings.max_batch_bytes:
                break
            queued = self._queued_frames.popleft()
            self._queued_bytes -= queued.size_bytes
            if queued.is_cancelled:
                continue
            queued.is_taken = True
            frames.append(queued.frame)
            size += queued.size_bytes
        return Batch(frames=frames) if frames else None

    async def wait(self) -> None:
        """Wait until a frame is added; called from asyncio."""
        self._is_writer_waiting = True
        await self._wake.wait()
        self._wake.clear()
        self._is_writer_waiting = False

    def _is_full(self) -> bool:
        if len(self._queued_frames) >= self._settings.max_queued_frames:
            return True
        return self._queued_bytes >= self._settings.max_queued_bytes
