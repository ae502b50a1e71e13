"""Messages in which instances exchange request counts."""

import attrs

__all__ = [
    "DAYS",
    "HOURS",
    "MINUTES",
    "EncodedLatencies",
    "LedgerMessage",
    "ServiceCounts",
    "SlotCounts",
    "SourceCounts",
    "Tier",
]


@attrs.frozen(kw_only=True)
class Tier:
    """Time slots of one length, and how many of them are retained.

    Parameters
    ----------
    name : str
        Field of `ServiceCounts` that holds the slots.
    slot_ms : int
        Length of a slot, in ms.
    slots : int
        Number of slots that are retained.
    """

    name: str
    slot_ms: int
    slots: int

    def find_slot(self, wall_ms: float) -> int:
        """Return the index of the slot that contains a wall time."""
        return int(wall_ms // self.slot_ms)


MINUTES = Tier(name="minutes", slot_ms=60_000, slots=60)
HOURS = Tier(name="hours", slot_ms=3_600_000, slots=72)
DAYS = Tier(name="days", slot_ms=86_400_000, slots=28)


@attrs.frozen(kw_only=True)
class SlotCounts:
    """Requests of one slot; at their source the counts never decrease."""

    index: int
    good: int
    bad: int

    @property
    def total(self) -> int:
        """Good and bad requests."""
        return self.good + self.bad


@attrs.frozen(kw_only=True)
class EncodedLatencies:
    """Latency histogram of one day, in us, in the encoding of HdrHistogram."""

    index: int
    count: int
    data: str


@attrs.frozen(kw_only=True)
class ServiceCounts:
    """Counts of one service from one source."""

    team: str
    service: str
    minutes: tuple[SlotCounts, ...] = ()
    hours: tuple[SlotCounts, ...] = ()
    days: tuple[SlotCounts, ...] = ()
    latencies: tuple[EncodedLatencies, ...] = ()


@attrs.frozen(kw_only=True)
class SourceCounts:
    """Counts of one run of one instance."""

    instance_id: str
    started_ms: float
    services: tuple[ServiceCounts, ...]


@attrs.frozen(kw_only=True)
class LedgerMessage:
    """Counts of one or more sources."""

    sources: tuple[SourceCounts, ...]
