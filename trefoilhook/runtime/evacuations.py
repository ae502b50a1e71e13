"""Applies the operator's evacuation entries in the store."""

from collections.abc import Iterable

from trefoilhook.clock import Clock
from trefoilhook.exceptions import DecodeError
from trefoilhook.logs import Event, log_event
from trefoilhook.platform import (
    EVACUATION_PREFIX,
    Change,
    Item,
    Listing,
    decode_evacuation,
)
from trefoilhook.runtime.rejections import Rejections
from trefoilhook.scheduling import Evacuation, Evacuations

__all__ = ["EvacuationFeed"]

_MAX_AGE_FRACTION = 0.7
"""Maximum age of the last read for tasks to be started, as a fraction of the time in
which an evacuation must take effect. The remainder covers start orders in flight."""


class EvacuationFeed:
    """Tracks evacuations as their entries are written and removed.

    An entry with an invalid value still evacuates the failure domain in its key.

    Parameters
    ----------
    clock : Clock
        Time source.
    rejections : Rejections
        Receives invalid entries.
    evacuation_ms : float
        Time in which an evacuation must take effect, in ms.
    failure_domains : iterable of str
        Failure domains of the deployment; empty if unknown.

    Attributes
    ----------
    evacuations : Evacuations
        Evacuations in force.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        rejections: Rejections,
        evacuation_ms: float,
        failure_domains: Iterable[str],
    ) -> None:
        self._clock = clock
        self._rejections = rejections
        self._as_of = 0
        self.evacuations = Evacuations()
        self.configure(evacuation_ms=evacuation_ms, failure_domains=failure_domains)

    def configure(
        self, *, evacuation_ms: float, failure_domains: Iterable[str]
    ) -> None:
        """Apply changed settings."""
        self._failure_domains = tuple(failure_domains)
        self.evacuations.max_age_ms = _MAX_AGE_FRACTION * evacuation_ms

    def take_listing(self, listing: Listing) -> None:
        """Apply a listing of the operator's keys; end evacuations missing from it."""
        listed = set()
        for item in listing.items:
            if item.key.startswith(EVACUATION_PREFIX):
                listed.add(item.key.removeprefix(EVACUATION_PREFIX))
                self._begin(item)
        # An evacuation missing from an outdated listing may have been added since.
        if listing.as_of >= self._as_of:
            self._as_of = listing.as_of
            for failure_domain in self.evacuations.in_force.keys() - listed:
                self._end(failure_domain)

    def take_change(self, change: Change) -> None:
        """Apply a change of one of the operator's keys."""
        if not change.key.startswith(EVACUATION_PREFIX):
            return
        if change.item is not None:
            self._begin(change.item)
        else:
            self._rejections.accept(Event.EVACUATION_INVALID, change.key)
            self._end(change.key.removeprefix(EVACUATION_PREFIX))

    def note_read(self, confirmed_ms: float) -> None:
        """Record that all changes up to a time have been applied."""
        self.evacuations.note_read(confirmed_ms)

    def _begin(self, item: Item) -> None:
        try:
            entry = decode_evacuation(item.key, item.value)
        except DecodeError as error:
            self._reject(item, str(error))
            return
        evacuations = self.evacuations
        if evacuations.begin(entry.failure_domain, self._clock.monotonic_ms()):
            log_event(
                Event.EVACUATION_BEGUN,
                failure_domain=entry.failure_domain,
                revision=item.revision,
            )
        evacuation = evacuations.in_force[entry.failure_domain]
        problem = entry.problem or self._find_problem(evacuation)
        if problem:
            self._reject(item, problem)
        else:
            self._rejections.accept(Event.EVACUATION_INVALID, item.key)

    def _find_problem(self, evacuation: Evacuation) -> str:
        """Return why a failure domain name is invalid, or an empty string."""
        known = self._failure_domains
        if not known or evacuation.failure_domain in known:
            return ""
        if any(map(evacuation.covers, known)):
            return "failure domain: not spelled as in the settings"
        return "failure domain: not one of this deployment"

    def _reject(self, item: Item, reason: str) -> None:
        self._rejections.report(
            Event.EVACUATION_INVALID, item.key, reason, revision=item.revision
        )

    def _end(self, failure_domain: str) -> None:
        ended = self.evacuations.end(failure_domain)
        if ended is not None:
            log_event(
                Event.EVACUATION_ENDED,
                failure_domain=failure_domain,
                after_ms=round(self._clock.monotonic_ms() - ended.since_ms),
            )
