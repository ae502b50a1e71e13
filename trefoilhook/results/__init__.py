"""Numbered result codes: what became of a request."""

from trefoilhook.results.core import Outcome, Result, ResultCode

__all__ = ["Outcome", "Result", "ResultCode"]
