"""Faults that a stand-in shows when told to."""

import enum

import attrs
import trio

__all__ = ["ANY_CALL", "Availability", "FaultSettings", "FaultSwitch"]

ANY_CALL = "any"


class Availability(enum.Enum):
    """How a stand-in takes connections and calls."""

    UP = "up"
    REFUSING = "refusing"
    HANGING = "hanging"


@attrs.frozen(kw_only=True)
class FaultSettings:
    """The faults in force.

    Parameters
    ----------
    availability : Availability, optional
        Up; refusing connections; or taking calls without ever answering.
    delay_ms : float, optional
        Added before each call is carried out, in ms.
    lost_answers : int, optional
        How many of the next calls are carried out and then not answered.
    lost_kind : str, optional
        Only calls of this kind lose their answer; ``any`` for all.
    silent_watches : int, optional
        How many of the next watches never answer, while other calls do.
    """

    availability: Availability = Availability.UP
    delay_ms: float = 0.0
    lost_answers: int = 0
    lost_kind: str = ANY_CALL
    silent_watches: int = 0


class FaultSwitch:
    """Holds the faults in force and wakes what waits for a change of them."""

    def __init__(self) -> None:
        self._settings = FaultSettings()
        self._changed = trio.Event()

    @property
    def settings(self) -> FaultSettings:
        """The faults in force."""
        return self._settings

    def set(self, settings: FaultSettings) -> None:
        """Put other faults in force, from now on."""
        self._settings = settings
        changed = self._changed
        self._changed = trio.Event()
        changed.set()

    async def wait_change(self) -> None:
        """Wait until other faults are put in force."""
        await self._changed.wait()

    def take_lost_answer(self, kind: str) -> bool:
        """Tell whether the answer to a call of ``kind`` is to be lost; counts it."""
        settings = self._settings
        if settings.lost_answers <= 0 or settings.lost_kind not in (ANY_CALL, kind):
            return False
        left = settings.lost_answers - 1
        self._settings = attrs.evolve(settings, lost_answers=left)
        return True

    def take_silent_watch(self) -> bool:
        """Tell whether a new watch is to be silent; counts it."""
        left = self._settings.silent_watches - 1
        if left < 0:
            return False
        self._settings = attrs.evolve(self._settings, silent_watches=left)
        return True
