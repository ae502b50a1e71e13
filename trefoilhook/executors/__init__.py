"""Client of the executors; the only module that implements their protocol."""

from trefoilhook.executors.core import ExecutorAnswer, ExecutorClient, ExecutorHealth

__all__ = ["ExecutorAnswer", "ExecutorClient", "ExecutorHealth"]
