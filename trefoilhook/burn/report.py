"""Builds the burn report from the counts of all sources."""

from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator

import attrs
from hdrh.histogram import HdrHistogram

from trefoilhook.burn.core import (
    BurnReport,
    SeriesPoint,
    ServiceBurn,
    SourceRow,
    TeamBurn,
    WindowBurn,
    compute_alert,
    compute_budget_left,
    compute_burn_rate,
)
from trefoilhook.burn.ledger import (
    TIERS,
    BurnLedger,
    ServiceState,
    SourceKey,
    build_histogram,
)
from trefoilhook.burn.messages import DAYS, HOURS, MINUTES, SlotCounts, Tier
from trefoilhook.configuration import Objective
from trefoilhook.logs import Event, log_event

__all__ = ["FindObjective", "build_report"]

#: Returns the objective of a team's service; None if it has none (any more).
FindObjective = Callable[[str, str], Objective | None]

PERIOD = "28d"
_WINDOWS: tuple[tuple[str, Tier, int], ...] = (
    ("5m", MINUTES, 5),
    ("30m", MINUTES, 30),
    ("1h", MINUTES, 60),
    ("6h", HOURS, 6),
    ("3d", HOURS, 72),
    (PERIOD, DAYS, 28),
)
_US_PER_MS = 1000.0
_PERCENTILES = (50.0, 99.0, 99.9)


@attrs.define(kw_only=True)
class _Totals:
    good: int = 0
    bad: int = 0

    def add(self, slot: SlotCounts) -> None:
        self.good += slot.good
        self.bad += slot.bad


@attrs.frozen(kw_only=True)
class _Context:
    now_ms: float
    find_objective: FindObjective


def build_report(
    *,
    ledger: BurnLedger,
    find_objective: FindObjective,
    now_ms: float,
    team: str | None = None,
) -> BurnReport:
    """Build the report from the counts in a ledger.

    Parameters
    ----------
    ledger : BurnLedger
        Counts of this instance, merged with those of other instances.
    find_objective : callable
        Returns the objective of a team's service, or None; services without one are
        left out.
    now_ms : float
        Wall time at which all windows end, in ms since the Unix epoch.
    team : str, optional
        Restricts the report to services of this team.
    """
    states: dict[tuple[str, str], list[ServiceState]] = defaultdict(list)
    rows = []
    for source, services in ledger.list_sources():
        rows.append(_build_source(source, services.values()))
        for key, state in services.items():
            if team is None or key[0] == team:
                states[key].append(state)
    context = _Context(now_ms=now_ms, find_objective=find_objective)
    burns = tuple(_build_services(states, context))
    return BurnReport(
        at_ms=now_ms,
        period=PERIOD,
        services=burns,
        teams=tuple(_build_teams(burns)),
        sources=tuple(sorted(rows, key=lambda row: (row.instance_id, row.started_ms))),
    )


def _build_source(source: SourceKey, states: Iterable[ServiceState]) -> SourceRow:
    """Build the row of a source; the time of its latest count is exact to a minute."""
    times_ms = [source.started_ms]
    for state in states:
        for tier in TIERS:
            starts = (index * float(tier.slot_ms) for index in state.slots[tier.name])
            times_ms.extend(starts)
    return SourceRow(
        instance_id=source.instance_id,
        started_ms=source.started_ms,
        counted_until_ms=max(times_ms),
    )


def _build_services(
    states: dict[tuple[str, str], list[ServiceState]], context: _Context
) -> Iterator[ServiceBurn]:
    for (team, service), found in sorted(states.items()):
        objective = context.find_objective(team, service)
        if objective is not None:
            yield _build_service(team, service, found, objective, context.now_ms)


def _build_service(
    team: str,
    service: str,
    states: list[ServiceState],
    objective: Objective,
    now_ms: float,
) -> ServiceBurn:
    merged = {tier.name: _merge_slots(states, tier) for tier in TIERS}
    windows = tuple(
        _build_window(
            name, merged[tier.name], tier.find_slot(now_ms) - count, objective
        )
        for name, tier, count in _WINDOWS
    )
    period = windows[-1]
    allowed_bad = (period.good + period.bad) * (1.0 - objective.target)
    p50_ms, p99_ms, p999_ms = _compute_percentiles(states)
    return ServiceBurn(
        team=team,
        service=service,
        latency_ms=objective.latency_ms,
        target=objective.target,
        windows=windows,
        budget_left=compute_budget_left(bad=period.bad, allowed_bad=allowed_bad),
        alert=compute_alert(windows),
        p50_ms=p50_ms,
        p99_ms=p99_ms,
        p999_ms=p999_ms,
        series=tuple(_build_series(merged[HOURS.name], objective)),
    )


def _merge_slots(states: list[ServiceState], tier: Tier) -> dict[int, _Totals]:
    sums: dict[int, _Totals] = defaultdict(_Totals)
    for state in states:
        for index, slot in state.slots[tier.name].items():
            sums[index].add(slot)
    return sums


def _build_window(
    name: str, sums: dict[int, _Totals], before: int, objective: Objective
) -> WindowBurn:
    inside = [total for index, total in sums.items() if index > before]
    good = sum(total.good for total in inside)
    bad = sum(total.bad for total in inside)
    rate = compute_burn_rate(good=good, bad=bad, target=objective.target)
    return WindowBurn(window=name, good=good, bad=bad, burn_rate=rate)


def _build_series(
    sums: dict[int, _Totals], objective: Objective
) -> Iterator[SeriesPoint]:
    for index, total in sorted(sums.items()):
        yield SeriesPoint(
            at_ms=index * float(HOURS.slot_ms),
            good=total.good,
            bad=total.bad,
            burn_rate=compute_burn_rate(
                good=total.good, bad=total.bad, target=objective.target
            ),
        )


def _compute_percentiles(states: list[ServiceState]) -> tuple[float, ...]:
    merged = build_histogram()
    for state in states:
        for latencies in state.latencies.values():
            _add_encoded(merged, latencies.data)
    if not merged.get_total_count():
        return tuple(0.0 for _ in _PERCENTILES)
    values = (merged.get_value_at_percentile(percentile) for percentile in _PERCENTILES)
    return tuple(value / _US_PER_MS for value in values)


def _add_encoded(merged: HdrHistogram, data: str) -> None:
    """Add an encoded histogram; skip it if it can't be decoded.

    Without this, an invalid histogram from a faulty peer or one of another version
    would keep all instances from building reports until that day's slot expires. The
    library's decoding errors have no common base class.
    """
    try:
        merged.decode_and_add(data.encode())
    except Exception:
        log_event(Event.BURN_UNREADABLE)


def _build_teams(services: Iterable[ServiceBurn]) -> Iterator[TeamBurn]:
    by_team: dict[str, list[ServiceBurn]] = defaultdict(list)
    for service in services:
        by_team[service.team].append(service)
    for team, burns in by_team.items():
        periods = [burn.windows[-1] for burn in burns]
        bad = sum(period.bad for period in periods)
        allowed_bad = sum(
            (period.good + period.bad) * (1.0 - burn.target)
            for period, burn in zip(periods, burns, strict=True)
        )
        yield TeamBurn(
            team=team,
            good=sum(period.good for period in periods),
            bad=bad,
            budget_left=compute_budget_left(bad=bad, allowed_bad=allowed_bad),
        )
