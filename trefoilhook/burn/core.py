"""The report on service-level burn: what it says, and the arithmetic behind it.

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
    "ServiceBurn",
    "SeriesPoint",
    "SourceRow",
    "TeamBurn",
    "WindowBurn",
    "compute_alert",
    "compute_budget_left",
    "compute_burn_rate",
]

#: Long window, short window and burn rate from which both raise the alert [1]_.
_PAGE_RULES = (("1h", "5m", 14.4), ("6h", "30m", 6.0))
_TICKET_RULES = (("3d", "6h", 1.0),)


class Alert(enum.Enum):
    """How urgently somebody should look."""

    NONE = "none"
    TICKET = "ticket"
    PAGE = "page"


@attrs.frozen(kw_only=True)
class WindowBurn:
    """Requests of a window that ends now.

    Parameters
    ----------
    window : str
        Name of the window, such as ``1h``.
    good : int
        Requests that met the objective.
    bad : int
        Requests that did not.
    burn_rate : float
        Share of bad requests over the share that the objective allows; 1 uses the
        budget up exactly over the budget's period.
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
        Requests that did not.
    burn_rate : float
        Burn rate of the hour.
    """

    at_ms: float
    good: int
    bad: int
    burn_rate: float


@attrs.frozen(kw_only=True)
class ServiceBurn:
    """Burn of one service.

    Parameters
    ----------
    team, service : str
        Which service.
    latency_ms : float
        Objective: a later answer counts as bad, in ms.
    target : float
        Objective: share of requests that must be good.
    windows : tuple of WindowBurn
        From the shortest to the budget's period.
    budget_left : float
        Share of the period's error budget that is left; negative when overspent.
    alert : Alert
        The most urgent rule that holds.
    p50_ms, p99_ms, p999_ms : float
        Latency of executed requests over the latest three days, in ms; 0 without any.
    series : tuple of SeriesPoint
        Hours of the latest three days, the oldest first.
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
    """Burn of a team over all its services.

    Parameters
    ----------
    team : str
        Which team.
    good, bad : int
        Requests of the budget's period.
    budget_left : float
        Share of the services' budgets, added up, that is left.
    """

    team: str
    good: int
    bad: int
    budget_left: float


@attrs.frozen(kw_only=True)
class SourceRow:
    """An instance whose counts are in the report, also when it is long gone.

    Parameters
    ----------
    instance_id : str
        Which instance.
    started_ms : float
        When it started, in ms since the Unix epoch.
    counted_until_ms : float
        Time of its latest count in the report, in ms since the Unix epoch.
    """

    instance_id: str
    started_ms: float
    counted_until_ms: float


@attrs.frozen(kw_only=True)
class BurnReport:
    """Burn of services and teams, merged over instances.

    Parameters
    ----------
    at_ms : float
        Wall time of the report, in ms since the Unix epoch.
    period : str
        Window over which the error budget is spent.
    services : tuple of ServiceBurn
        One row a service.
    teams : tuple of TeamBurn
        One row a team.
    sources : tuple of SourceRow
        Where the counts come from.
    """

    at_ms: float
    period: str
    services: tuple[ServiceBurn, ...] = ()
    teams: tuple[TeamBurn, ...] = ()
    sources: tuple[SourceRow, ...] = ()


def compute_burn_rate(*, good: int, bad: int, target: float) -> float:
    """Return the share of bad requests over the allowed share; 0 without requests."""
    total = good + bad
    return bad / total / (1.0 - target) if total else 0.0


def compute_budget_left(*, bad: int, allowed_bad: float) -> float:
    """Return the share of an error budget that is left; 1 when nothing was spent."""
    if bad == 0:
        return 1.0
    return 1.0 - bad / allowed_bad if allowed_bad > 0 else -float(bad)


def compute_alert(windows: Iterable[WindowBurn]) -> Alert:
    """Return the most urgent alert whose long and short window both burn too fast.

    The long window keeps a short burst from waking anybody; the short one ends the
    alert soon after the burst did.
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
