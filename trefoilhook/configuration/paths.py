"""Paths inside a team's subtree, such as ``services/seat-check/timeout_ms``."""

from typing import Any

from trefoilhook.exceptions import RequestError
from trefoilhook.results import ResultCode

__all__ = ["get_value", "parse_path", "remove_value", "replace_value"]

Steps = tuple[str, ...]

_MAX_STEPS = 16
_MAX_STEP_CHARACTERS = 128


def parse_path(text: str) -> Steps:
    """Split a path into its steps; the empty path is the whole subtree.

    Raises
    ------
    RequestError
        If a step is empty or too long, or there are too many.
    """
    trimmed = text.strip("/")
    if not trimmed:
        return ()
    steps = tuple(trimmed.split("/"))
    if len(steps) > _MAX_STEPS:
        raise RequestError(f"the path has more than {_MAX_STEPS} steps")
    for step in steps:
        if not step or len(step) > _MAX_STEP_CHARACTERS or not step.isprintable():
            raise RequestError(f"the path {text[:_MAX_STEP_CHARACTERS]!r} is malformed")
    return steps


def _refuse(steps: Steps) -> RequestError:
    where = "/".join(steps) or "(whole)"
    return RequestError(f"there is nothing at {where}", code=ResultCode.NOT_FOUND)


def get_value(tree: dict[str, Any], steps: Steps) -> Any:
    """Return what stands at a path.

    Raises
    ------
    RequestError
        With code NOT_FOUND, if nothing stands there.
    """
    value: Any = tree
    for depth, step in enumerate(steps, start=1):
        if not isinstance(value, dict) or step not in value:
            raise _refuse(steps[:depth])
        value = value[step]
    return value


def replace_value(tree: dict[str, Any], steps: Steps, value: Any) -> dict[str, Any]:
    """Return a copy of ``tree`` with ``value`` at a path; missing objects are made.

    Raises
    ------
    RequestError
        If a step on the way is not an object, or the whole would not be one.
    """
    if not steps:
        if not isinstance(value, dict):
            raise RequestError("a team's subtree must be an object")
        return value
    step, rest = steps[0], steps[1:]
    if not rest:
        return {**tree, step: value}
    inner = tree.get(step)
    if inner is None:
        inner = {}
    if not isinstance(inner, dict):
        raise RequestError(f"{step} is not an object, so nothing can stand below it")
    return {**tree, step: replace_value(inner, rest, value)}


def remove_value(tree: dict[str, Any], steps: Steps) -> dict[str, Any]:
    """Return a copy of ``tree`` without what stood at a path.

    Raises
    ------
    RequestError
        With code NOT_FOUND, if nothing stands there.
    """
    get_value(tree, steps)
    if not steps:
        return {}
    step, rest = steps[0], steps[1:]
    if rest:
        return {**tree, step: remove_value(tree[step], rest)}
    return {name: value for name, value in tree.items() if name != step}
