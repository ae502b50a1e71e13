"""The clock interface used by all other modules.

All times are in milliseconds. A clock is passed in as a parameter and is never global,
so that the same code runs on real time, trio's virtual time and manually set time.
"""

import time
from collections.abc import Awaitable, Callable

import attrs
import trio

from trefoilhook.clock.manual import ManualTime

__all__ = ["Clock", "build_boottime_clock", "build_manual_clock", "build_system_clock"]

_MS_PER_S = 1000.0


@attrs.frozen(kw_only=True)
class Clock:
    """Source of time and of delays for a component.

    Parameters
    ----------
    monotonic_ms : callable
        Milliseconds since an arbitrary origin; never decreases, and advances while the
        process is paused, so that the lease of a paused holder expires too.
    wall_ms : callable
        Milliseconds since the Unix epoch, by the machine's clock.
    sleep_ms : callable
        Coroutine function that waits for the given number of milliseconds.
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
        Offset added to the wall clock, in ms, to simulate clock skew in tests.

    Notes
    -----
    Under ``trio.testing.MockClock`` the monotonic time is virtual. The wall time is
    derived from it, from an offset that is computed once, on the first reading.
    """
    anchors: list[float] = []

    def read_monotonic() -> float:
        return trio.current_time() * _MS_PER_S

    def read_wall() -> float:
        if not anchors:
            anchors.append(time.time() * _MS_PER_S - read_monotonic())
        return read_monotonic() + anchors[0] + wall_offset_ms

    return Clock(monotonic_ms=read_monotonic, wall_ms=read_wall, sleep_ms=_sleep_ms)


def build_boottime_clock() -> Clock:
    """Build a clock whose monotonic time advances while the machine is suspended.

    ``CLOCK_MONOTONIC`` stops during a suspend, so that an expired lease would appear
    valid to a holder that has just resumed.
    """
    return Clock(
        monotonic_ms=lambda: time.clock_gettime(time.CLOCK_BOOTTIME) * _MS_PER_S,
        wall_ms=lambda: time.time() * _MS_PER_S,
        sleep_ms=_sleep_ms,
    )


def build_manual_clock(manual: ManualTime) -> Clock:
    """Build a clock on manually controlled time; sleeping advances it at once."""

    async def advance(duration_ms: float) -> None:
        manual.advance(duration_ms)

    return Clock(
        monotonic_ms=lambda: manual.now_ms,
        wall_ms=lambda: manual.epoch_ms + manual.now_ms,
        sleep_ms=advance,
    )
