"""Service-level burn: how fast services use their error budget up."""

from trefoilhook.burn.core import (
    Alert,
    BurnReport,
    SeriesPoint,
    ServiceBurn,
    SourceRow,
    TeamBurn,
    WindowBurn,
)

__all__ = [
    "Alert",
    "BurnReport",
    "SeriesPoint",
    "ServiceBurn",
    "SourceRow",
    "TeamBurn",
    "WindowBurn",
]
