"""Adapter to the executors: the only module that knows their protocol."""

from trefoilhook.executors.core import ExecutorAnswer, ExecutorClient, ExecutorHealth

__all__ = ["ExecutorAnswer", "ExecutorClient", "ExecutorHealth"]
