"""When a request is tried again, and when a slow one is sent twice."""

import math

import attrs
from hdrh.histogram import HdrHistogram

from trefoilhook.requests.buckets import RetryBudget
from trefoilhook.results import Outcome, ResultCode

__all__ = ["OWNER_MOVED_CODES", "HedgePolicy", "RetryPolicy", "may_succeed_elsewhere"]

_MIN_RUN_US = 1
_MAX_RUN_US = 600_000_000
_SIGNIFICANT_DIGITS = 2
_US_PER_MS = 1000.0
_MIN_RUNS = 100
_RETRY_ELSEWHERE_CODES = frozenset(
    {
        ResultCode.NO_OWNER,
        ResultCode.NO_EXECUTOR,
        ResultCode.OVERLOADED,
        ResultCode.OWNER_UNREACHABLE,
        ResultCode.SHUTTING_DOWN,
    }
)
# An owner that has just handed its executors over; retries of these add no load.
OWNER_MOVED_CODES = frozenset({ResultCode.NO_OWNER, ResultCode.SHUTTING_DOWN})


def may_succeed_elsewhere(code: ResultCode) -> bool:
    """Tell whether another owner might run what this one refused."""
    return code in _RETRY_ELSEWHERE_CODES


@attrs.define(kw_only=True, eq=False)
class RetryPolicy:
    """Decides about another attempt at an executor, one budget a service.

    Parameters
    ----------
    ratio : float
        Retries for each request.
    reserve : float
        Most retries saved up.
    """

    ratio: float
    reserve: float
    _budgets: dict[str, RetryBudget] = attrs.field(factory=dict, init=False)

    def record_request(self, service_name: str) -> None:
        """Count a first attempt."""
        self._get(service_name).record_request()

    def may_retry(
        self, service_name: str, code: ResultCode, *, is_idempotent: bool
    ) -> bool:
        """Tell whether a request may be tried again, and charge the budget.

        Parameters
        ----------
        service_name : str
            The service.
        code : ResultCode
            How the attempt ended.
        is_idempotent : bool
            Whether the request may run more than once.
        """
        outcome = code.outcome
        if outcome is Outcome.EXECUTED:
            return False
        # Guards against selling a seat twice: what may have been run is only tried
        # again where running twice does no harm.
        if outcome is Outcome.UNKNOWN and not is_idempotent:
            return False
        if outcome is Outcome.NOT_RUN and not may_succeed_elsewhere(code):
            return False
        if code in OWNER_MOVED_CODES:
            return True
        return self._get(service_name).take()

    def _get(self, service_name: str) -> RetryBudget:
        budget = self._budgets.get(service_name)
        if budget is None:
            budget = RetryBudget(ratio=self.ratio, reserve=self.reserve)
            self._budgets[service_name] = budget
        return budget


@attrs.define(kw_only=True, eq=False)
class HedgePolicy:
    """Learns after what time a request of a service counts as slow.

    Parameters
    ----------
    is_enabled : bool
        Whether slow requests are sent twice at all.
    quantile : float
        Percentile of the run time that counts as slow.
    """

    is_enabled: bool
    percentile: float
    _histograms: dict[str, HdrHistogram] = attrs.field(factory=dict, init=False)

    def add_sample(self, service_name: str, run_ms: float) -> None:
        """Take in one run's time, in ms."""
        if not self.is_enabled:
            return
        histogram = self._histograms.get(service_name)
        if histogram is None:
            histogram = HdrHistogram(_MIN_RUN_US, _MAX_RUN_US, _SIGNIFICANT_DIGITS)
            self._histograms[service_name] = histogram
        histogram.record_value(max(_MIN_RUN_US, int(run_ms * _US_PER_MS)))

    def get_delay_ms(self, service_name: str, *, is_idempotent: bool) -> float:
        """Return after what time a second copy is sent, in ms; infinite for never."""
        if not self.is_enabled or not is_idempotent:
            return math.inf
        histogram = self._histograms.get(service_name)
        if histogram is None or histogram.get_total_count() < _MIN_RUNS:
            return math.inf
        value = histogram.get_value_at_percentile(self.percentile)
        return float(value) / _US_PER_MS
