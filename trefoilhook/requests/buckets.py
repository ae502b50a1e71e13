"""Token buckets: team quotas and retry budgets."""

import math

import attrs

__all__ = ["RetryBudget", "TeamQuotas", "TokenBucket"]

_MS_PER_S = 1000.0


@attrs.define(kw_only=True)
class TokenBucket:
    """Tokens that come at a rate, up to a burst.

    Parameters
    ----------
    rate_per_s : float
        Tokens a second; infinite for no limit.
    burst : float
        Most tokens saved up.
    filled_at_ms : float
        When it is full for the first time, in ms.
    """

    rate_per_s: float
    burst: float
    filled_at_ms: float
    _tokens: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._tokens = self.burst

    def change_rate(self, *, rate_per_s: float, burst: float) -> None:
        """Take a new rate and burst; what is saved up stays within the burst."""
        self.rate_per_s = rate_per_s
        self.burst = burst
        self._tokens = min(self._tokens, burst)

    def take(self, now_ms: float) -> float:
        """Take a token; return zero, or the time until there is one, in ms."""
        if math.isinf(self.rate_per_s):
            return 0.0
        grown = (now_ms - self.filled_at_ms) / _MS_PER_S * self.rate_per_s
        self._tokens = min(self.burst, self._tokens + grown)
        self.filled_at_ms = now_ms
        if self._tokens >= 1.0:
            self._tokens -= 1.0
            return 0.0
        if self.rate_per_s <= 0.0:
            return math.inf
        return (1.0 - self._tokens) / self.rate_per_s * _MS_PER_S


@attrs.define(kw_only=True)
class TeamQuotas:
    """Share of each team's quota that this instance may use.

    Parameters
    ----------
    burst_s : float
        Seconds of a quota that may be used in a burst.

    Notes
    -----
    Keys spread evenly over the request shards, so an owner of a share of the shards
    sees that share of each team's requests, however the balancer spreads callers. Its
    share of the quota is therefore its share of the shards.
    """

    burst_s: float
    _buckets: dict[str, TokenBucket] = attrs.field(factory=dict, init=False)

    def take(
        self, team: str, *, quota_per_s: float, share: float, now_ms: float
    ) -> float:
        """Count a request; return zero, or when to come back, in ms.

        Parameters
        ----------
        team : str
            Team whose service is called.
        quota_per_s : float
            The team's requests a second over the whole system; infinite for no limit.
        share : float
            Share of the request shards owned here, from 0 to 1.
        now_ms : float
            Time now.
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
    """Retries allowed as a fraction of requests.

    Parameters
    ----------
    ratio : float
        Retries for each request.
    reserve : float
        Most retries saved up.

    Notes
    -----
    When everything fails, retries add at most ``ratio`` to the load, in place of
    multiplying it.
    """

    ratio: float
    reserve: float
    _available: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._available = self.reserve

    def record_request(self) -> None:
        """Count a first attempt."""
        self._available = min(self.reserve, self._available + self.ratio)

    def take(self) -> bool:
        """Take leave for one retry."""
        if self._available < 1.0:
            return False
        self._available -= 1.0
        return True
