"""Client of the executors; the only module that implements their protocol."""

from trefoilhook.executors.core import ExecutorClient, ExecutorHealth, ExecutorResponse

__all__ = ["ExecutorResponse", "ExecutorClient", "ExecutorHealth"]
