"""Failure domains that the operator has evacuated, where no task is started."""

import math

import attrs

from trefoilhook.scheduling.fleet import Worker

__all__ = ["Evacuation", "Evacuations"]


def _normalize(name: str) -> str:
    """Return a name without surrounding whitespace and differences in case.

    Guards against starts in an evacuated domain whose name was spelled differently.
    """
    return name.strip().casefold()


@attrs.frozen(kw_only=True)
class Evacuation:
    """The evacuation of one failure domain.

    Parameters
    ----------
    failure_domain : str
        Name of the failure domain, as spelled by the operator.
    since_ms : float
        When this instance learned of the evacuation, in ms.
    """

    failure_domain: str
    since_ms: float

    def covers(self, failure_domain: str) -> bool:
        """Return whether a name, once normalized, is that of the failure domain."""
        return _normalize(failure_domain) == _normalize(self.failure_domain)


@attrs.define(kw_only=True)
class Evacuations:
    """The evacuations in force and when they were last read.

    Parameters
    ----------
    max_age_ms : float
        Maximum age of the last read for tasks to be started, in ms; infinite if the
        platform has no evacuations.

    Attributes
    ----------
    read_ms : float
        When they were last read, in ms.
    in_force : dict of str to Evacuation
        Evacuations by failure domain, as spelled by the operator.
    """

    max_age_ms: float = math.inf
    read_ms: float = attrs.field(default=-math.inf, init=False)
    in_force: dict[str, Evacuation] = attrs.field(factory=dict, init=False)
    _normalized_names: frozenset[str] = attrs.field(default=frozenset(), init=False)

    def begin(self, failure_domain: str, now_ms: float) -> bool:
        """Evacuate a failure domain; return whether it was not evacuated before."""
        if failure_domain in self.in_force:
            return False
        self.in_force[failure_domain] = Evacuation(
            failure_domain=failure_domain, since_ms=now_ms
        )
        self._update_normalized_names()
        return True

    def end(self, failure_domain: str) -> Evacuation | None:
        """End an evacuation; return it if it was in force."""
        ended = self.in_force.pop(failure_domain, None)
        self._update_normalized_names()
        return ended

    def _update_normalized_names(self) -> None:
        self._normalized_names = frozenset(map(_normalize, self.in_force))

    def note_read(self, confirmed_ms: float) -> None:
        """Record that all changes up to a time are known."""
        self.read_ms = max(self.read_ms, confirmed_ms)

    def is_stale(self, now_ms: float) -> bool:
        """Return whether the last read is older than ``max_age_ms``."""
        return now_ms - self.read_ms > self.max_age_ms

    def covers(self, worker: Worker) -> bool:
        """Return whether the failure domain of a worker is evacuated."""
        return (
            bool(self._normalized_names)
            and _normalize(worker.report.failure_domain) in self._normalized_names
        )
