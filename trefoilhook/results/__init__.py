"""Numbered result codes of requests."""

from trefoilhook.results.core import Outcome, Result, ResultCode

__all__ = ["Outcome", "Result", "ResultCode"]
