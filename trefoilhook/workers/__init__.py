"""Client for the platform's workers."""

from trefoilhook.workers.client import WorkerClient
from trefoilhook.workers.core import (
    CommandKind,
    CommandResult,
    CommandStatus,
    Resources,
    TaskState,
    TaskUsage,
    UsageReport,
    WorkerCommand,
    WorkerHeartbeat,
    WorkerInventory,
    WorkerTask,
)
from trefoilhook.workers.messages import (
    CommandsAnswer,
    CommandsRequest,
    LeaseRequest,
    RenewRequest,
)

__all__ = [
    "CommandKind",
    "CommandResult",
    "CommandStatus",
    "CommandsAnswer",
    "CommandsRequest",
    "LeaseRequest",
    "RenewRequest",
    "Resources",
    "TaskState",
    "TaskUsage",
    "UsageReport",
    "WorkerClient",
    "WorkerCommand",
    "WorkerHeartbeat",
    "WorkerInventory",
    "WorkerTask",
]
