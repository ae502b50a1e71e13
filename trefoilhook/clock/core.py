"""The clock that every other module takes its time from.

All times are milliseconds. A clock is handed in, never reached for, so that the same
code runs on real time, on trio's virtual time and on a time set by hand.
"""

import time
from collections.abc import Awaitable, Callable

import attrs
import trio

from trefoilhook.clock.manual import ManualTime

__all__ = ["Clock", "build_boot_clock", "build_manual_clock", "build_system_clock"]

_MS_PER_S = 1000.0


@attrs.frozen(kw_only=True)
class Clock:
    """Where a component reads time and how it waits.

    Parameters
    ----------
    monotonic_ms : callable
        Milliseconds since an arbitrary origin; never goes back, and goes on while the
        process is frozen, so that a lease lapses for a paused holder too.
    wall_ms : callable
        Milliseconds since the Unix epoch, as the machine believes them.
    sleep_ms : callable
        Awaitable that waits for the given number of milliseconds.
    """

    monotonic_ms: Callable[[], float]
    wall_ms: Callable[[], float]
    sleep_ms: Callable[[float], Awaitable[None]]


async def _sleep_ms(duration_ms: float) -> None:
    await trio.sleep(duration_ms / _MS_PER_S)


def build_system_clock(*, wall_offset_ms: float = 0.0) -> Clock:
    """Build the clock of a running process on trio's time.

    Parameters
    ----------
    wall_offset_ms : float, optional
        Added to the wall clock, in ms; lets a test give one instance a skewed clock.

    Notes
    -----
    Under ``trio.testing.MockClock`` the monotonic time is virtual. The wall time is
    then derived from it as well, by anchoring both once on the first reading.
    """
    anchors: list[float] = []

    def read_monotonic() -> float:
        return trio.current_time() * _MS_PER_S

    def read_wall() -> float:
        if not anchors:
            anchors.append(time.time() * _MS_PER_S - read_monotonic())
        return read_monotonic() + anchors[0] + wall_offset_ms

    return Clock(monotonic_ms=read_monotonic, wall_ms=read_wall, sleep_ms=_sleep_ms)


def build_boot_clock() -> Clock:
    """Build a clock whose monotonic time goes on while the machine is suspended.

    The steady clock stands still then, so a lease judged by it would seem valid to a
    holder that has just woken up.
    """
    return Clock(
        monotonic_ms=lambda: time.clock_gettime(time.CLOCK_BOOTTIME) * _MS_PER_S,
        wall_ms=lambda: time.time() * _MS_PER_S,
        sleep_ms=_sleep_ms,
    )


def build_manual_clock(manual: ManualTime) -> Clock:
    """Build a clock over a time that its owner sets by hand."""

    async def advance(duration_ms: float) -> None:
        manual.advance(duration_ms)

    return Clock(
        monotonic_ms=lambda: manual.now_ms,
        wall_ms=lambda: manual.epoch_ms + manual.now_ms,
        sleep_ms=advance,
    )
