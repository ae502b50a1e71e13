"""Injectable faults of stand-ins."""

import enum

import attrs
import trio

__all__ = ["ANY_CALL", "Availability", "FaultSettings", "FaultSwitch"]

ANY_CALL = "any"


class Availability(enum.Enum):
    """Availability of a stand-in."""

    UP = "up"
    REFUSING = "refusing"
    HANGING = "hanging"


@attrs.frozen(kw_only=True)
class FaultSettings:
    """Faults of a stand-in.

    Parameters
    ----------
    availability : Availability, optional
        Up; refusing connections; or accepting calls without ever responding.
    delay_ms : float, optional
        Delay before each call is executed, in ms.
    lost_answers : int, optional
        Number of subsequent calls that are executed and then left without a response.
    lost_kind : str, optional
        Kind of the calls that lose their response; ``any`` for all.
    silent_watches : int, optional
        Number of subsequent watches that never respond; other calls are unaffected.
    """

    availability: Availability = Availability.UP
    delay_ms: float = 0.0
    lost_answers: int = 0
    lost_kind: str = ANY_CALL
    silent_watches: int = 0


class FaultSwitch:
    """Holds the active faults and notifies waiting tasks of changes."""

    def __init__(self) -> None:
        self._settings = FaultSettings()
        self._changed = trio.Event()

    @property
    def settings(self) -> FaultSettings:
        """The active faults."""
        return self._settings

    def set(self, settings: FaultSettings) -> None:
        """Change the active faults from now on."""
        self._settings = settings
        changed = self._changed
        self._changed = trio.Event()
        changed.set()

    async def wait_change(self) -> None:
        """Wait until the active faults change."""
        await self._changed.wait()

    def consume_lost_answer(self, kind: str) -> bool:
        """Return whether to lose the response to a call, and count it if so."""
        settings = self._settings
        if settings.lost_answers <= 0 or settings.lost_kind not in (ANY_CALL, kind):
            return False
        left = settings.lost_answers - 1
        self._settings = attrs.evolve(settings, lost_answers=left)
        return True

    def consume_silent_watch(self) -> bool:
        """Return whether a new watch must not respond, and count it if so."""
        left = self._settings.silent_watches - 1
        if left < 0:
            return False
        self._settings = attrs.evolve(self._settings, silent_watches=left)
        return True
