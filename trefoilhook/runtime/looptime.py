"""Time of the event loop by kind of work, for an owner that is short of processor time.

The loop runs one task at a time, so that the time between two of its switches belongs
to the task that ran. Tasks are told apart by their names. The time includes that in
which the operating system does not run the process; the process's own processor time is
reported beside it.
"""

import contextlib
import enum
import gc
import time
from collections import Counter
from collections.abc import Callable, Iterator
from typing import Any

import trio

from trefoilhook.clock import Clock
from trefoilhook.logs import Event, log_event
from trefoilhook.runtime.metrics import ProcessMetrics

__all__ = ["LoopTime", "Work"]

_REPORT_PERIOD_MS = 2000.0
"""Interval between two log lines, in ms, equal to that of the queues' backlogs."""


class Work(enum.StrEnum):
    """Kinds of work of an owner; each is the name of the tasks that do it."""

    POLL = "polls"
    ANSWER = "answers"
    PLAN = "plans"
    FILLER_PLAN = "filler plans"
    START = "starts"
    FILLER_START = "filler starts"
    STOP = "stops"
    PACE = "paces"
    RECORD = "records"
    PLACE = "places"
    ROSTER = "roster"
    FEED = "feeds"
    MAINTENANCE = "maintenance"
    LOOP = "loop"
    OTHER = "other"


_KINDS = frozenset(Work)


class LoopTime(trio.abc.Instrument):
    """Attributes the time of the event loop to kinds of work.

    Each switch between tasks costs one reading of the clock and one update of a
    counter. Time that the loop spends waiting for events is not counted.

    Parameters
    ----------
    clock : Clock
        Time source.
    metrics : ProcessMetrics
        Receives the totals.
    read_lag_ms : callable
        Returns the recent lag of the event loop, in ms.
    read_processor_s : callable, optional
        Returns the processor time of this process, in s.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        metrics: ProcessMetrics,
        read_lag_ms: Callable[[], float],
        read_processor_s: Callable[[], float] = time.process_time,
    ) -> None:
        self._read_ms = clock.monotonic_ms
        self._clock = clock
        self._metrics = metrics
        self._read_lag_ms = read_lag_ms
        self._read_processor_s = read_processor_s
        self._spent: Counter[str] = Counter()
        self._calls: Counter[str] = Counter()
        self._collecting_ms = 0.0
        self._collection_began_ms = 0.0
        self._since_ms = 0.0

    @contextlib.contextmanager
    def measure(self) -> Iterator[None]:
        """Measure the loop of the running process for the duration of the context."""
        self._since_ms = self._read_ms()
        trio.lowlevel.add_instrument(self)
        gc.callbacks.append(self._note_collection)
        try:
            yield
        finally:
            gc.callbacks.remove(self._note_collection)
            trio.lowlevel.remove_instrument(self)

    def switch(self, kind: str) -> None:
        """Attribute the time since the last switch to a kind of work."""
        now_ms = self._read_ms()
        self._spent[kind] += now_ms - self._since_ms  # type: ignore[assignment]
        self._calls[kind] += 1
        self._since_ms = now_ms

    def after_task_step(self, task: trio.lowlevel.Task) -> None:
        """Attribute the time of a step to the kind that is its task's name."""
        self.switch(task.name if task.name in _KINDS else Work.OTHER)

    def before_io_wait(self, timeout: float) -> None:
        """Attribute the time since the last step to the loop itself."""
        self.switch(Work.LOOP)

    def after_io_wait(self, timeout: float) -> None:
        """Begin to measure again after a wait for events."""
        self._since_ms = self._read_ms()

    def _note_collection(self, phase: str, info: dict[str, Any]) -> None:
        """Measure the garbage collector, which also counts for the task it delays."""
        if phase == "start":
            self._collection_began_ms = self._read_ms()
        else:
            self._collecting_ms += self._read_ms() - self._collection_began_ms

    async def report(self) -> None:
        """Periodically log and count the time by kind, until cancelled."""
        processor_s = self._read_processor_s()
        began_ms = self._read_ms()
        while True:
            await self._clock.sleep_ms(_REPORT_PERIOD_MS)
            spent, calls = self._spent, self._calls
            self._spent, self._calls = Counter(), Counter()
            collecting_ms, self._collecting_ms = self._collecting_ms, 0.0
            for kind, spent_ms in spent.items():
                self._metrics.add("loop_ms", kind, round(spent_ms))
                self._metrics.add("loop_steps", kind, calls[kind])
            self._metrics.add("garbage_collection_ms", "", round(collecting_ms))
            now_ms, now_s = self._read_ms(), self._read_processor_s()
            log_event(
                Event.LOOP_TIMES,
                period_ms=round(now_ms - began_ms),
                busy_ms=round(spent.total()),
                processor_ms=round((now_s - processor_s) * 1000.0),
                collecting_ms=round(collecting_ms),
                lag_ms=round(self._read_lag_ms()),
                spent_ms={kind: round(ms) for kind, ms in spent.most_common()},
                steps=dict(calls.most_common()),
            )
            began_ms, processor_s = now_ms, now_s
