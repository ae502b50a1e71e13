"""Describes unexpected exceptions in log lines."""

import traceback

__all__ = ["describe_failure", "find_cause"]

_MAX_ERROR_LENGTH = 200
"""Maximum length of a logged error, in characters."""


def describe_failure(error: BaseException) -> dict[str, str]:
    """Return an exception and the place where it was raised, for the log.

    Of an exception group, the first exception that is not a group is described.
    """
    cause = find_cause(error)
    frames = traceback.extract_tb(cause.__traceback__)
    place = ""
    if frames:
        last = frames[-1]
        place = f"{last.filename.rpartition('/')[2]}:{last.lineno} {last.name}"
    return {"error": repr(cause)[:_MAX_ERROR_LENGTH], "raised_in": place}


def find_cause(error: BaseException) -> BaseException:
    """Return the first exception of a group that is not a group itself."""
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error
