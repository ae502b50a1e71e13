"""Applies the operator's configuration in the store, and tracks how current it is."""

import math

import attrs

from trefoilhook.clock import Clock
from trefoilhook.exceptions import DecodeError
from trefoilhook.logs import Event, log_event
from trefoilhook.platform import (
    CONFIGURATION_KEY,
    ConfigurationDocument,
    Item,
    decode_configuration,
)
from trefoilhook.runtime.following import KeyRead
from trefoilhook.runtime.rejections import Rejections
from trefoilhook.scheduling import Configuration, Freshness

__all__ = ["ConfigurationFeed"]

_MAX_AGE_FRACTION = 0.9
"""Maximum age of the configuration that decides a request, as a fraction of the time in
which a new one must be in force. A store ninety times slower than usual confirms it
every 1.7 s."""

_AGE_CHECK_PERIOD_MS = 200.0
"""Interval between two checks of the age for the log, in ms."""


class ConfigurationFeed:
    """Tracks the configuration in force.

    Parameters
    ----------
    clock : Clock
        Time source.
    rejections : Rejections
        Receives invalid configurations.
    apply_ms : float
        Time in which a new configuration must be in force, in ms.

    Attributes
    ----------
    configuration : Configuration or None
        The configuration in force; None before the first one.
    freshness : Freshness
        How current it is.
    """

    def __init__(
        self, *, clock: Clock, rejections: Rejections, apply_ms: float
    ) -> None:
        self._clock = clock
        self._rejections = rejections
        self._unreported: Item | None = None
        self._failed_reads = 0
        self._is_reported_outdated = False
        self._dropped: frozenset[tuple[str, str]] = frozenset()
        self.configuration: Configuration | None = None
        self.freshness = Freshness()
        self.configure(apply_ms=apply_ms)

    def configure(self, *, apply_ms: float) -> None:
        """Apply changed settings."""
        self.freshness.max_age_ms = _MAX_AGE_FRACTION * apply_ms

    @property
    def version(self) -> int:
        """Version of the configuration in force; 0 before the first one."""
        return self.configuration.version if self.configuration is not None else 0

    def measure_age(self) -> float:
        """Return the time for which a newer version may be in force, in ms."""
        return self.freshness.measure_age(self._clock.monotonic_ms())

    def get_current(self) -> Configuration | None:
        """Return the configuration in force; None if a newer one may have replaced it.

        A configuration that was read too long ago may lack added routes and contain
        removed ones.
        """
        if self.is_outdated:
            return None
        return self.configuration

    @property
    def is_outdated(self) -> bool:
        """Whether a newer configuration may be in force."""
        return self.freshness.is_stale(self._clock.monotonic_ms())

    def is_dropped(self, host: str, prefix: str) -> bool:
        """Return whether an earlier configuration had a route that this one lacks."""
        return (host, prefix) in self._dropped

    def describe_age(self) -> dict[str, int]:
        """Return the fields of a log line on how current the configuration is."""
        fields = {"version": self.version, "failed_reads": self._failed_reads}
        if math.isfinite(self.freshness.read_ms):
            fields["age_ms"] = round(self.measure_age())
        return fields

    async def report_age(self) -> None:
        """Log once when the configuration becomes outdated, until cancelled."""
        while True:
            await self._clock.sleep_ms(_AGE_CHECK_PERIOD_MS)
            if self.version and self.is_outdated and not self._is_reported_outdated:
                self._is_reported_outdated = True
                log_event(Event.CONFIG_OUTDATED, **self.describe_age())

    def take_item(self, item: Item) -> None:
        """Apply a configuration unless it is invalid or older than the one in force."""
        if item.key != CONFIGURATION_KEY:
            return
        try:
            document = decode_configuration(item.value)
        except DecodeError as error:
            self._reject(item, str(error))
            return
        configuration = document.configuration
        if configuration.version < self.version:
            log_event(
                Event.CONFIG_STALE,
                version=configuration.version,
                in_force=self.version,
                revision=item.revision,
            )
            return
        self._report_problems(item, document)
        if self.configuration is not None:
            # Jobs of a removed route keep running on the workers of its service.
            services = configuration.services | self.configuration.services
            configuration = attrs.evolve(configuration, services=services)
            known = self._dropped | self.configuration.locations
            self._dropped = known - configuration.locations
        self.configuration = configuration
        self._unreported = item

    def note_failure(self) -> None:
        """Record a read of the operator's keys that has failed."""
        self._failed_reads += 1

    def note_read(self, read: KeyRead) -> None:
        """Record a read of the operator's keys whose changes have been applied."""
        age_ms = self.measure_age()
        described = self.describe_age()
        self.freshness.note_read(read.confirmed_ms)
        self._failed_reads = 0
        if self._is_reported_outdated and not self.is_outdated:
            self._is_reported_outdated = False
            log_event(Event.CONFIG_CONFIRMED, **described)
        item, self._unreported = self._unreported, None
        if item is None:
            return
        is_first = age_ms == float("inf")
        log_event(
            Event.CONFIG_IN_FORCE,
            version=self.version,
            revision=item.revision,
            how="start" if is_first else read.kind.value,
            **({} if is_first else {"earlier_age_ms": round(age_ms)}),
        )

    def _report_problems(self, item: Item, document: ConfigurationDocument) -> None:
        self._rejections.accept(Event.CONFIG_INVALID, item.key)
        if document.problems:
            self._reject(item, f"left out: {'; '.join(document.problems)}")

    def _reject(self, item: Item, reason: str) -> None:
        self._rejections.report(
            Event.CONFIG_INVALID, item.key, reason, revision=item.revision
        )
