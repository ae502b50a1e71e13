"""Describes unexpected exceptions in log lines."""

import traceback
from collections.abc import Iterator

__all__ = ["describe_failure"]

_MAX_ERROR_LENGTH = 200
"""Maximum length of a logged error, in characters."""


def describe_failure(error: BaseException) -> dict[str, str]:
    """Return an exception and the place where it was raised, for the log.

    Of an exception group, the first exception that is not a group is described.
    """
    first = next(_list_causes(error), error)
    frames = traceback.extract_tb(first.__traceback__)
    place = ""
    if frames:
        last = frames[-1]
        place = f"{last.filename.rpartition('/')[2]}:{last.lineno} {last.name}"
    return {"error": repr(first)[:_MAX_ERROR_LENGTH], "raised_in": place}


def _list_causes(error: BaseException) -> Iterator[BaseException]:
    if isinstance(error, BaseExceptionGroup):
        for each in error.exceptions:
            yield from _list_causes(each)
    else:
        yield error
