"""OpenTelemetry metrics of bounded cardinality."""

from trefoilhook.metrics.core import MAX_SERIES, Metrics, ReadValues
from trefoilhook.metrics.instruments import Instrument, Kind

__all__ = ["MAX_SERIES", "Instrument", "Kind", "Metrics", "ReadValues"]
