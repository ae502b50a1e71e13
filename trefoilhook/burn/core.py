"""Burn report: its data classes, burn rates, error budgets and alerts.

References
----------
.. [1] B. Beyer et al. (eds.), "The Site Reliability Workbook", O'Reilly, 2018,
   chapter 5: multi-window, multi-burn-rate alerts.
"""

import enum
from collections.abc import Iterable

import attrs

__all__ = [
    "Alert",
    "BurnReport",
    "SeriesPoint",
    "ServiceBurn",
    "SourceRow",
    "TeamBurn",
    "WindowBurn",
    "compute_alert",
    "compute_budget_left",
    "compute_burn_rate",
]

#: Long window, short window, and burn rate that both must reach for the alert [1]_.
_PAGE_RULES = (("1h", "5m", 14.4), ("6h", "30m", 6.0))
_TICKET_RULES = (("3d", "6h", 1.0),)


class Alert(enum.Enum):
    """Urgency of an alert."""

    NONE = "none"
    TICKET = "ticket"
    PAGE = "page"


@attrs.frozen(kw_only=True)
class WindowBurn:
    """Requests of a window that ends at the time of the report.

    Parameters
    ----------
    window : str
        Name of the window, such as ``1h``.
    good : int
        Requests that met the objective.
    bad : int
        Requests that did not meet it.
    burn_rate : float
        Share of bad requests divided by the share that the objective allows. At a
        rate of 1 the error budget lasts exactly one budget period.
    """

    window: str
    good: int
    bad: int
    burn_rate: float


@attrs.frozen(kw_only=True)
class SeriesPoint:
    """Requests of one hour.

    Parameters
    ----------
    at_ms : float
        Wall time at which the hour began, in ms since the Unix epoch.
    good : int
        Requests that met the objective.
    bad : int
        Requests that did not meet it.
    burn_rate : float
        Burn rate of the hour.
    """

    at_ms: float
    good: int
    bad: int
    burn_rate: float


@attrs.frozen(kw_only=True)
class ServiceBurn:
    """Burn rates, error budget and latencies of one service.

    Parameters
    ----------
    team, service : str
        Names of the team and of the service.
    latency_ms : float
        Latency objective, in ms; slower responses count as bad.
    target : float
        Share of requests that must be good.
    windows : tuple of WindowBurn
        Windows from the shortest to the budget period.
    budget_left : float
        Remaining share of the period's error budget; negative when overspent.
    alert : Alert
        Most urgent alert raised.
    p50_ms, p99_ms, p999_ms : float
        Latency percentiles of successful requests of the last three days, in ms; 0
        without any.
    series : tuple of SeriesPoint
        Hours of the last three days, oldest first.
    """

    team: str
    service: str
    latency_ms: float
    target: float
    windows: tuple[WindowBurn, ...]
    budget_left: float
    alert: Alert
    p50_ms: float
    p99_ms: float
    p999_ms: float
    series: tuple[SeriesPoint, ...]


@attrs.frozen(kw_only=True)
class TeamBurn:
    """Error budget of a team over all its services.

    Parameters
    ----------
    team : str
        Name of the team.
    good, bad : int
        Requests of the budget period.
    budget_left : float
        Remaining share of the sum of the services' error budgets.
    """

    team: str
    good: int
    bad: int
    budget_left: float


@attrs.frozen(kw_only=True)
class SourceRow:
    """A run of an instance, live or not, whose counts are in the report.

    Parameters
    ----------
    instance_id : str
        Id of the instance.
    started_ms : float
        Start of the run, in ms since the Unix epoch.
    counted_until_ms : float
        Start of its latest slot with counts, in ms since the Unix epoch.
    """

    instance_id: str
    started_ms: float
    counted_until_ms: float


@attrs.frozen(kw_only=True)
class BurnReport:
    """Burn of services and teams, merged across instances.

    Parameters
    ----------
    at_ms : float
        Wall time of the report, in ms since the Unix epoch.
    period : str
        Name of the window that the error budget covers.
    services : tuple of ServiceBurn
        One row per service.
    teams : tuple of TeamBurn
        One row per team.
    sources : tuple of SourceRow
        Runs of instances that the counts come from.
    """

    at_ms: float
    period: str
    services: tuple[ServiceBurn, ...] = ()
    teams: tuple[TeamBurn, ...] = ()
    sources: tuple[SourceRow, ...] = ()


def compute_burn_rate(*, good: int, bad: int, target: float) -> float:
    """Return the ratio of the bad share to the allowed share; 0 without requests."""
    total = good + bad
    return bad / total / (1.0 - target) if total else 0.0


def compute_budget_left(*, bad: int, allowed_bad: float) -> float:
    """Return the remaining share of an error budget; 1 without bad requests."""
    if bad == 0:
        return 1.0
    return 1.0 - bad / allowed_bad if allowed_bad > 0 else -float(bad)


def compute_alert(windows: Iterable[WindowBurn]) -> Alert:
    """Return the most urgent alert whose long and short windows both burn too fast.

    The long window keeps a short burst of errors from raising an alert; the short
    window ends the alert soon after the errors stop.
    """
    rates = {window.window: window.burn_rate for window in windows}

    def is_raised(rules: tuple[tuple[str, str, float], ...]) -> bool:
        return any(
            min(rates.get(long, 0.0), rates.get(short, 0.0)) >= limit
            for long, short, limit in rules
        )

    if is_raised(_PAGE_RULES):
        return Alert.PAGE
    return Alert.TICKET if is_raised(_TICKET_RULES) else Alert.NONE
