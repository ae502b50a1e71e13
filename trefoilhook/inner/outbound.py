"""The bounded queue of frames on their way to one peer."""

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
    """A frame and how far it has come.

    Parameters
    ----------
    frame : Frame
        What is to be sent.
    size_bytes : int
        Size of the frame, in bytes.
    is_taken : bool, optional
        Whether it was handed to the transport, so that it may have left.
    is_withdrawn : bool, optional
        Whether its sender gave up before it was taken; it is then never sent.
    """

    frame: Frame
    size_bytes: int
    is_taken: bool = False
    is_withdrawn: bool = False


class OutboundQueue:
    """Frames that wait for the writer of a link.

    Frames are put in from trio tasks and taken out by one asyncio task. Both run in
    one thread, so plain state suffices; the asyncio event only wakes the writer.

    Parameters
    ----------
    settings : InnerSettings
        Caps of the queue and of a batch.
    """

    def __init__(self, *, settings: InnerSettings) -> None:
        self._settings = settings
        self._waiting: deque[QueuedFrame] = deque()
        self._bytes = 0
        self._wake = asyncio.Event()
        self._is_writer_waiting = False

    @property
    def is_flushed(self) -> bool:
        """Whether nothing waits and the writer isn't sending either."""
        return not self._waiting and self._is_writer_waiting

    def put(self, frame: Frame, *, is_bounded: bool = True) -> QueuedFrame:
        """Append a frame.

        Parameters
        ----------
        frame : Frame
            What to send.
        is_bounded : bool, optional
            Whether the caps apply. They don't for replies, whose number is bounded by
            the calls in progress: a reply that is dropped would turn a known outcome
            into an unknown one.

        Raises
        ------
        NotSentError
            With the code ``OVERLOADED``, if the queue is full.
        """
        if is_bounded and self._is_full():
            message = "the queue to the peer is full"
            raise NotSentError(message, code=ResultCode.OVERLOADED)
        queued = QueuedFrame(frame=frame, size_bytes=frame.ByteSize())
        self._waiting.append(queued)
        self._bytes += queued.size_bytes
        if not self._wake.is_set():
            self._wake.set()
        return queued

    def withdraw(self, queued: QueuedFrame) -> bool:
        """Take back a frame; tell whether it is thereby proved not sent."""
        if queued.is_taken:
            return False
        queued.is_withdrawn = True
        return True

    def take_batch(self) -> Batch | None:
        """Take as many frames as one batch holds; none when nothing waits."""
        frames: list[Frame] = []
        size = 0
        while self._waiting and len(frames) < self._settings.max_batch_frames:
            if frames and size >= self._settings.max_batch_bytes:
                break
            queued = self._waiting.popleft()
            self._bytes -= queued.size_bytes
            if queued.is_withdrawn:
                continue
            queued.is_taken = True
            frames.append(queued.frame)
            size += queued.size_bytes
        return Batch(frames=frames) if frames else None

    async def wait(self) -> None:
        """Wait until something was put in; called from asyncio."""
        self._is_writer_waiting = True
        await self._wake.wait()
        self._wake.clear()
        self._is_writer_waiting = False

    def _is_full(self) -> bool:
        if len(self._waiting) >= self._settings.max_queued_frames:
            return True
        return self._bytes >= self._settings.max_queued_bytes
