"""Client of the platform's instance list."""

from trefoilhook.instances.client import InstanceListClient
from trefoilhook.instances.core import (
    BackendPage,
    ExecutorRecord,
    InstanceState,
    WorkerRecord,
)

__all__ = [
    "BackendPage",
    "ExecutorRecord",
    "InstanceListClient",
    "InstanceState",
    "WorkerRecord",
]
