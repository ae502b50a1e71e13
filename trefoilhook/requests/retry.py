"""Policies for retrying failed requests and hedging slow ones."""

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
# The executor's owner has changed. Such a request has not reached an executor, so
# retrying it adds no load and is not charged to the retry budget.
OWNER_MOVED_CODES = frozenset({ResultCode.NO_OWNER, ResultCode.SHUTTING_DOWN})


def may_succeed_elsewhere(code: ResultCode) -> bool:
    """Return whether a refused request may succeed at another owner."""
    return code in _RETRY_ELSEWHERE_CODES


@attrs.define(kw_only=True, eq=False)
class RetryPolicy:
    """Decides on retries, with one retry budget per service.

    Parameters
    ----------
    ratio : float
        Retries allowed per request.
    reserve : float
        Maximum number of retries that can accumulate.
    """

    ratio: float
    reserve: float
    _budgets: dict[str, RetryBudget] = attrs.field(factory=dict, init=False)

    def record_request(self, service_name: str) -> None:
        """Record the first attempt of a request."""
        self._get(service_name).record_request()

    def may_retry(
        self, service_name: str, code: ResultCode, *, is_idempotent: bool
    ) -> bool:
        """Return whether a request may be retried, and charge the budget if so.

        Parameters
        ----------
        service_name : str
            Name of the service.
        code : ResultCode
            Result code of the last attempt.
        is_idempotent : bool
            Whether the request may run more than once.
        """
        outcome = code.outcome
        if outcome is Outcome.EXECUTED:
            return False
        # A request that may have run is only retried if it is idempotent.
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
    """Determines the delay after which a slow request of a service is hedged.

    Parameters
    ----------
    is_enabled : bool
        Whether hedging is enabled.
    percentile : float
        Percentile of the run times beyond which a request counts as slow.
    """

    is_enabled: bool
    percentile: float
    _histograms: dict[str, HdrHistogram] = attrs.field(factory=dict, init=False)

    def add_sample(self, service_name: str, run_ms: float) -> None:
        """Add the run time of one request, in ms."""
        if not self.is_enabled:
            return
        histogram = self._histograms.get(service_name)
        if histogram is None:
            histogram = HdrHistogram(_MIN_RUN_US, _MAX_RUN_US, _SIGNIFICANT_DIGITS)
            self._histograms[service_name] = histogram
        histogram.record_value(max(_MIN_RUN_US, int(run_ms * _US_PER_MS)))

    def get_delay_ms(self, service_name: str, *, is_idempotent: bool) -> float:
        """Return the delay before a second copy is sent, in ms; infinite for never."""
        if not self.is_enabled or not is_idempotent:
            return math.inf
        histogram = self._histograms.get(service_name)
        if histogram is None or histogram.get_total_count() < _MIN_RUNS:
            return math.inf
        value = histogram.get_value_at_percentile(self.percentile)
        return float(value) / _US_PER_MS
