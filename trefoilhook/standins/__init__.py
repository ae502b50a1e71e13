"""Stand-ins for external services, for tests and the demo."""

from trefoilhook.standins.cut import CutSettings, Partition, TcpCut
from trefoilhook.standins.executor import (
    ExecutorRecords,
    ExecutorSettings,
    ExecutorStandin,
    RunRecord,
    check_answer,
)
from trefoilhook.standins.faults import Availability, FaultSettings
from trefoilhook.standins.instances import InstanceLists, InstanceListStandin
from trefoilhook.standins.store import CallCounts, StoreStandin
from trefoilhook.standins.store_state import StoreSettings
from trefoilhook.standins.worker import WorkerRecords, WorkerStandin
from trefoilhook.standins.worker_state import WorkerSettings
from trefoilhook.standins.worker_task import PairSlowdown, StartRecord

__all__ = [
    "Availability",
    "CallCounts",
    "CutSettings",
    "ExecutorRecords",
    "ExecutorSettings",
    "ExecutorStandin",
    "FaultSettings",
    "InstanceListStandin",
    "InstanceLists",
    "PairSlowdown",
    "Partition",
    "RunRecord",
    "StartRecord",
    "StoreSettings",
    "StoreStandin",
    "TcpCut",
    "WorkerRecords",
    "WorkerSettings",
    "WorkerStandin",
    "check_answer",
]
