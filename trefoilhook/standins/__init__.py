"""Small stand-ins for the outside, for tests and the demo."""

from trefoilhook.standins.faults import Availability, FaultSettings
from trefoilhook.standins.store import CallCounts, StoreStandin
from trefoilhook.standins.store_state import StoreSettings

__all__ = [
    "Availability",
    "CallCounts",
    "FaultSettings",
    "StoreSettings",
    "StoreStandin",
]
