"""Failure domains that the operator has evacuated, where no task is started."""

import attrs

from trefoilhook.scheduling.fleet import Worker
from trefoilhook.scheduling.freshness import Freshness

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
class Evacuations(Freshness):
    """The evacuations in force and how current they are.

    Attributes
    ----------
    in_force : dict of str to Evacuation
        Evacuations by failure domain, as spelled by the operator.
    """

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

    def covers(self, worker: Worker) -> bool:
        """Return whether the failure domain of a worker is evacuated."""
        return (
            bool(self._normalized_names)
            and _normalize(worker.report.failure_domain) in self._normalized_names
        )
