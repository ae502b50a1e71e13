"""Counters, gauges and latency histograms of one process.

A count is a dictionary update. The Prometheus client library is imported on the first
export, because it takes 3 MB and 0.05 s of processor time, and instances are billed for
memory and start-up time. The OpenTelemetry SDK with its exporter would take 5 MB and
0.1 s more.
"""

import bisect
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from prometheus_client.core import Metric

__all__ = ["ProcessMetrics", "Histogram", "render"]

_BOUNDS_MS = (5, 10, 25, 50, 100, 250, 500, 1000, 2500, 5000, 10_000, 30_000)
"""Upper bounds of the buckets, in ms. They range from a round trip to the store to the
longest latency objectives of users."""

_PREFIX = "trefoilhook_"


@attrs.define(kw_only=True)
class Histogram:
    """Durations counted by bucket."""

    buckets: list[int] = attrs.Factory(lambda: [0] * (len(_BOUNDS_MS) + 1))
    sum_ms: float = 0.0

    def observe(self, duration_ms: float) -> None:
        """Count one duration, in ms."""
        self.buckets[bisect.bisect_left(_BOUNDS_MS, duration_ms)] += 1
        self.sum_ms += duration_ms


@attrs.define(kw_only=True)
class ProcessMetrics:
    """Metrics of a process.

    Parameters
    ----------
    counters : Counter
        Counters by name and label.
    histograms : dict of str to Histogram
        Histograms by name.
    gauges : dict of str to callable
        Functions by name that return the current value.
    """

    counters: Counter[tuple[str, str]] = attrs.Factory(Counter)
    histograms: dict[str, Histogram] = attrs.Factory(dict)
    gauges: dict[str, Callable[[], float]] = attrs.Factory(dict)

    def count(self, name: str, label: str = "") -> None:
        """Count one event."""
        self.counters[name, label] += 1

    def add(self, name: str, label: str, amount: int) -> None:
        """Increase a counter."""
        self.counters[name, label] += amount

    def observe(self, name: str, duration_ms: float) -> None:
        """Count a duration, in ms."""
        self.histograms.setdefault(name, Histogram()).observe(duration_ms)


class _Collector:
    """Converts the metrics to Prometheus metric families."""

    def __init__(self, metrics: ProcessMetrics) -> None:
        self._metrics = metrics

    def collect(self) -> Iterator["Metric"]:
        """Yield every metric."""
        from prometheus_client.core import (
            CounterMetricFamily,
            GaugeMetricFamily,
            HistogramMetricFamily,
        )

        names = {name for name, _ in self._metrics.counters}
        for name in sorted(names):
            family = CounterMetricFamily(_PREFIX + name, name, labels=["kind"])
            for (other, label), value in sorted(self._metrics.counters.items()):
                if other == name:
                    family.add_metric([label], value)
            yield family
        for name, histogram in sorted(self._metrics.histograms.items()):
            rows = _accumulate(histogram)
            durations = HistogramMetricFamily(_PREFIX + name, name)
            durations.add_metric([], buckets=rows, sum_value=histogram.sum_ms)
            yield durations
        for name, read in sorted(self._metrics.gauges.items()):
            yield GaugeMetricFamily(_PREFIX + name, name, value=read())


def _accumulate(histogram: Histogram) -> list[tuple[str, float]]:
    """Return the cumulative buckets of the Prometheus text format."""
    bounds: Iterable[str] = [*(str(bound) for bound in _BOUNDS_MS), "+Inf"]
    rows: list[tuple[str, float]] = []
    total = 0
    for bound, count in zip(bounds, histogram.buckets, strict=True):
        total += count
        rows.append((bound, float(total)))
    return rows


def render(metrics: ProcessMetrics) -> bytes:
    """Return all metrics in the Prometheus text format."""
    from prometheus_client import generate_latest

    text: bytes = generate_latest(_Collector(metrics))
    return text
