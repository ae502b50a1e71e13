"""The process that runs on the users' platform."""

from trefoilhook.runtime.core import Process

__all__ = ["Process"]
