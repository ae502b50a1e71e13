"""Token buckets for team quotas and retry budgets."""

import math

import attrs

__all__ = ["RetryBudget", "TeamQuotas", "TokenBucket"]

_MS_PER_S = 1000.0


@attrs.define(kw_only=True)
class TokenBucket:
    """Token bucket.

    Parameters
    ----------
    rate_per_s : float
        Refill rate in tokens per second; infinite for no limit.
    burst : float
        Maximum number of tokens.
    filled_at_ms : float
        Monotonic time of the last refill, in ms; initially the time of creation.
    """

    rate_per_s: float
    burst: float
    filled_at_ms: float
    _tokens: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._tokens = self.burst

    def change_rate(self, *, rate_per_s: float, burst: float) -> None:
        """Change the rate and burst; excess tokens are discarded."""
        self.rate_per_s = rate_per_s
        self.burst = burst
        self._tokens = min(self._tokens, burst)

    def take(self, now_ms: float) -> float:
        """Take a token if available; return the time until one is available, in ms.

        Returns zero if a token was taken.
        """
        if math.isinf(self.rate_per_s):
            return 0.0
        refill = (now_ms - self.filled_at_ms) / _MS_PER_S * self.rate_per_s
        self._tokens = min(self.burst, self._tokens + refill)
        self.filled_at_ms = now_ms
        if self._tokens >= 1.0:
            self._tokens -= 1.0
            return 0.0
        if self.rate_per_s <= 0.0:
            return math.inf
        return (1.0 - self._tokens) / self.rate_per_s * _MS_PER_S


@attrs.define(kw_only=True)
class TeamQuotas:
    """Team quotas, limited to the share of this instance.

    Parameters
    ----------
    burst_s : float
        Seconds of a quota that may be used in a burst.

    Notes
    -----
    Keys are distributed evenly over the request shards. The fraction of a team's
    requests that an instance receives as key owner therefore equals the fraction of
    shards that it owns, however the load balancer distributes callers. Its share of the
    quota is the same fraction.
    """

    burst_s: float
    _buckets: dict[str, TokenBucket] = attrs.field(factory=dict, init=False)

    def take(
        self, team: str, *, quota_per_s: float, share: float, now_ms: float
    ) -> float:
        """Charge a request to a team's quota.

        Returns zero, or the time after which the caller may retry, in ms.

        Parameters
        ----------
        team : str
            Team whose service is called.
        quota_per_s : float
            The team's requests per second in the whole system; infinite for no limit.
        share : float
            Fraction of the request shards that this instance owns, from 0 to 1.
        now_ms : float
            Current monotonic time, in ms.
        """
        if math.isinf(quota_per_s):
            return 0.0
        rate = quota_per_s * share
        burst = max(1.0, rate * self.burst_s)
        bucket = self._buckets.get(team)
        if bucket is None:
            bucket = TokenBucket(rate_per_s=rate, burst=burst, filled_at_ms=now_ms)
            self._buckets[team] = bucket
        elif bucket.rate_per_s != rate:
            bucket.change_rate(rate_per_s=rate, burst=burst)
        return bucket.take(now_ms)


@attrs.define(kw_only=True)
class RetryBudget:
    """Retry budget proportional to the number of requests.

    Parameters
    ----------
    ratio : float
        Retries allowed per request.
    reserve : float
        Maximum number of retries that can accumulate.

    Notes
    -----
    If all requests fail, retries increase the load by at most ``ratio`` instead of
    multiplying it.
    """

    ratio: float
    reserve: float
    _available: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._available = self.reserve

    def record_request(self) -> None:
        """Record the first attempt of a request."""
        self._available = min(self.reserve, self._available + self.ratio)

    def take(self) -> bool:
        """Charge one retry; return whether it is allowed."""
        if self._available < 1.0:
            return False
        self._available -= 1.0
        return True
