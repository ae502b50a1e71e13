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
from trefoilhook.burn.ledger import BurnLedger, is_counted
from trefoilhook.burn.report import FindObjective, build_report

__all__ = [
    "Alert",
    "BurnLedger",
    "BurnReport",
    "FindObjective",
    "SeriesPoint",
    "ServiceBurn",
    "SourceRow",
    "TeamBurn",
    "WindowBurn",
    "build_report",
    "is_counted",
]
