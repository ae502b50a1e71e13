"""Client of the platform's instance list."""

from trefoilhook.instances.client import InstanceListClient
from trefoilhook.instances.core import (
    BackendSnapshot,
    ExecutorRecord,
    InstanceState,
    WorkerRecord,
)

__all__ = [
    "BackendSnapshot",
    "ExecutorRecord",
    "InstanceListClient",
    "InstanceState",
    "WorkerRecord",
]
