"""Counts of good and bad requests by source, with an idempotent merge.

A source is one run of an instance, identified by instance id and start time. Its counts
of a slot never decrease, so the larger of two states of a slot is the newer one.
Merging keeps the larger state and never adds, so that duplicated, delayed or relayed
states do no harm.
"""

import json
from collections.abc import Iterable, Iterator

import attrs
from hdrh.histogram import HdrHistogram

from trefoilhook.burn.messages import (
    DAYS,
    HOURS,
    MINUTES,
    EncodedLatencies,
    LedgerMessage,
    ServiceCounts,
    SlotCounts,
    SourceCounts,
    Tier,
)
from trefoilhook.clock import Clock
from trefoilhook.configuration import Objective
from trefoilhook.exceptions import SettingsError
from trefoilhook.results import ResultCode
from trefoilhook.settings import dump_json, parse_json, read_message

__all__ = ["BurnLedger", "build_histogram", "is_counted"]

TIERS = (MINUTES, HOURS, DAYS)
LATENCY_DAYS = 3

_US_PER_MS = 1000.0
_MAX_LATENCY_US = 3_600_000_000
_SIGNIFICANT_DIGITS = 2
_MAX_SOURCES = 2_000
_RECENT_WINDOW_MS = 300_000.0
_MAX_FUTURE_SLOTS = 2
_GOOD_CODES = (ResultCode.OK, ResultCode.REPLAYED)
_FIRST_CALLER_ERROR = 300
_FIRST_SYSTEM_ERROR = 900


def build_histogram() -> HdrHistogram:
    """Return an empty histogram for latencies in us."""
    return HdrHistogram(1, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS)


def is_counted(code: ResultCode) -> bool:
    """Return whether a response counts towards the service's error budget.

    Caller errors and exceeded quotas don't count: otherwise a single caller could spend
    the error budget of a service.
    """
    if code is ResultCode.QUOTA_EXCEEDED:
        return False
    return not _FIRST_CALLER_ERROR <= code.number < _FIRST_SYSTEM_ERROR


@attrs.frozen(kw_only=True)
class SourceKey:
    """One run of one instance."""

    instance_id: str
    started_ms: float


@attrs.define(kw_only=True)
class ServiceState:
    """Counts of a service by tier and slot, and latencies by day, from one source."""

    slots: dict[str, dict[int, SlotCounts]] = attrs.field(
        factory=lambda: {tier.name: {} for tier in TIERS}
    )
    latencies: dict[int, EncodedLatencies] = attrs.field(factory=dict)


_ServiceKey = tuple[str, str]
_Services = dict[_ServiceKey, ServiceState]


@attrs.define(kw_only=True)
class _LiveCounts:
    """Unflushed counts of the current minute and latencies of the current day."""

    minute: int
    good: int = 0
    bad: int = 0
    latencies: HdrHistogram = attrs.field(factory=build_histogram)

    @property
    def start_ms(self) -> float:
        return self.minute * float(MINUTES.slot_ms)

    @property
    def day(self) -> int:
        return DAYS.find_slot(self.start_ms)

    def encode_latencies(self) -> EncodedLatencies:
        return EncodedLatencies(
            index=self.day,
            count=self.latencies.get_total_count(),
            data=self.latencies.encode().decode("ascii"),
        )


class BurnLedger:
    """Request counts of this instance and those received from other instances.

    Parameters
    ----------
    instance_id : str
        Id of this instance.
    clock : Clock
        Source of the wall time.

    Notes
    -----
    A restarted instance counts from zero. Its start time makes it a new source;
    otherwise its new counts would replace the earlier ones, and requests would vanish
    from the report. When an instance is lost, its peers keep the counts that they last
    received. Duplicated or delayed states neither count twice nor overwrite newer ones,
    as the larger state of a slot is kept.
    """

    def __init__(self, *, instance_id: str, clock: Clock) -> None:
        self._clock = clock
        self._own = SourceKey(instance_id=instance_id, started_ms=clock.wall_ms())
        self._sources: dict[SourceKey, _Services] = {self._own: {}}
        self._live: dict[_ServiceKey, _LiveCounts] = {}
        self._source_cursor = 0

    def record(
        self,
        *,
        team: str,
        service: str,
        code: ResultCode,
        latency_ms: float,
        objective: Objective,
    ) -> None:
        """Count the response to one request.

        Parameters
        ----------
        team, service : str
            Names of the team and of the service.
        code : ResultCode
            Result of the request.
        latency_ms : float
            Time from the arrival of the request to its response, in ms.
        objective : Objective
            The service's objective.
        """
        if not is_counted(code):
            return
        live = self._find_live((team, service))
        if code in _GOOD_CODES:
            latency_us = int(latency_ms * _US_PER_MS)
            live.latencies.record_value(min(max(latency_us, 1), _MAX_LATENCY_US))
            if latency_ms <= objective.latency_ms:
                live.good += 1
                return
        live.bad += 1

    def encode(self, *, after_ms: float = 0.0, is_own_only: bool = False) -> str:
        """Return the counts as JSON, for other instances to `merge`.

        Parameters
        ----------
        after_ms : float, optional
            Include only slots that end after this wall time, in ms.
        is_own_only : bool, optional
            Leave out counts received from other instances.
        """
        self._flush_and_expire()
        keys = [self._own] if is_own_only else list(self._sources)
        return _serialize(self._build_source(key, after_ms) for key in keys)

    def encode_part(self) -> str:
        """Return a subset of the counts, small enough to be sent often.

        It holds this instance's recent counts and all counts of one source, chosen in
        rotation. Peers that poll repeatedly receive all counts, and the size of a
        response does not grow with the number of sources.
        """
        self._flush_and_expire()
        keys = list(self._sources)
        self._source_cursor = (self._source_cursor + 1) % len(keys)
        recent_ms = self._clock.wall_ms() - _RECENT_WINDOW_MS
        recent = self._build_source(self._own, recent_ms)
        return _serialize((recent, self._build_source(keys[self._source_cursor], 0.0)))

    def merge(self, text: str) -> bool:
        """Merge counts encoded by another instance; return False if invalid."""
        try:
            message = read_message(LedgerMessage, parse_json(text))
        except SettingsError:
            return False
        now_ms = self._clock.wall_ms()
        for source in message.sources:
            key = SourceKey(
                instance_id=source.instance_id, started_ms=source.started_ms
            )
            services = self._sources.setdefault(key, {})
            for counts in source.services:
                service = (counts.team, counts.service)
                state = services.setdefault(service, ServiceState())
                _merge_service(state, counts, now_ms)
        self._expire_sources()
        return True

    def list_sources(self) -> Iterator[tuple[SourceKey, _Services]]:
        """Yield each source with its services, up to date and without expired slots."""
        self._flush_and_expire()
        yield from self._sources.items()

    def _build_source(self, key: SourceKey, after_ms: float) -> SourceCounts:
        return SourceCounts(
            instance_id=key.instance_id,
            started_ms=key.started_ms,
            services=tuple(_encode_services(self._sources[key], after_ms)),
        )

    def _find_live(self, key: _ServiceKey) -> _LiveCounts:
        minute = MINUTES.find_slot(self._clock.wall_ms())
        live = self._live.get(key)
        if live is not None and live.minute == minute:
            return live
        new = _LiveCounts(minute=minute)
        if live is not None:
            state = self._flush_live(key, live)
            if live.day == new.day:
                new.latencies = live.latencies
            else:
                state.latencies[live.day] = live.encode_latencies()
        self._live[key] = new
        return new

    def _flush_live(self, key: _ServiceKey, live: _LiveCounts) -> ServiceState:
        """Add live counts to the slots of all tiers and reset them."""
        state = self._sources[self._own].setdefault(key, ServiceState())
        for tier in TIERS:
            _add_counts(state.slots[tier.name], tier, live)
        live.good = live.bad = 0
        return state

    def _flush_and_expire(self) -> None:
        """Flush all live counts, then drop expired slots and sources."""
        for key, live in self._live.items():
            state = self._flush_live(key, live)
            state.latencies[live.day] = live.encode_latencies()
        now_ms = self._clock.wall_ms()
        for services in self._sources.values():
            for state in services.values():
                _expire_slots(state, now_ms)
        self._expire_sources()

    def _expire_sources(self) -> None:
        """Drop sources without counts and, above `_MAX_SOURCES`, the oldest ones."""
        other_sources = sorted(
            (key for key in self._sources if key != self._own),
            key=lambda key: key.started_ms,
        )
        excess = len(other_sources) - _MAX_SOURCES
        for position, key in enumerate(other_sources):
            is_empty = not any(
                any(state.slots.values()) for state in self._sources[key].values()
            )
            if is_empty or position < excess:
                del self._sources[key]


def _serialize(sources: Iterable[SourceCounts]) -> str:
    message = LedgerMessage(sources=tuple(sources))
    return json.dumps(dump_json(message), separators=(",", ":"))


def _add_counts(slots: dict[int, SlotCounts], tier: Tier, live: _LiveCounts) -> None:
    if live.good + live.bad == 0:
        return
    index = tier.find_slot(live.start_ms)
    known = slots.get(index, SlotCounts(index=index, good=0, bad=0))
    slots[index] = SlotCounts(
        index=index, good=known.good + live.good, bad=known.bad + live.bad
    )


def _expire_tier(slots: dict[int, SlotCounts], tier: Tier, now_ms: float) -> None:
    oldest = tier.find_slot(now_ms) - tier.slots + 1
    for index in [index for index in slots if index < oldest]:
        del slots[index]


def _expire_slots(state: ServiceState, now_ms: float) -> None:
    for tier in TIERS:
        _expire_tier(state.slots[tier.name], tier, now_ms)
    oldest = DAYS.find_slot(now_ms) - LATENCY_DAYS + 1
    for index in [index for index in state.latencies if index < oldest]:
        del state.latencies[index]


def _merge_service(state: ServiceState, counts: ServiceCounts, now_ms: float) -> None:
    for tier in TIERS:
        slots = state.slots[tier.name]
        newest = tier.find_slot(now_ms) + _MAX_FUTURE_SLOTS
        incoming: tuple[SlotCounts, ...] = getattr(counts, tier.name)
        for slot in incoming:
            known = slots.get(slot.index)
            is_newer = known is None or slot.total > known.total
            if is_newer and slot.index <= newest and min(slot.good, slot.bad) >= 0:
                slots[slot.index] = slot
    for latencies in counts.latencies:
        known_latencies = state.latencies.get(latencies.index)
        if known_latencies is None or latencies.count > known_latencies.count:
            state.latencies[latencies.index] = latencies
    _expire_slots(state, now_ms)


def _select_slots(
    slots: Iterable[SlotCounts], tier: Tier, after_ms: float
) -> tuple[SlotCounts, ...]:
    first = tier.find_slot(after_ms)
    return tuple(slot for slot in slots if slot.index >= first)


def _encode_services(services: _Services, after_ms: float) -> Iterator[ServiceCounts]:
    first_day = DAYS.find_slot(after_ms)
    for (team, service), state in services.items():
        minutes, hours, days = (
            _select_slots(state.slots[tier.name].values(), tier, after_ms)
            for tier in TIERS
        )
        latencies = state.latencies.values()
        yield ServiceCounts(
            team=team,
            service=service,
            minutes=minutes,
            hours=hours,
            days=days,
            latencies=tuple(day for day in latencies if day.index >= first_day),
        )
