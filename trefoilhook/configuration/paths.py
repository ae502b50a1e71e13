"""Paths in a team's subtree, such as ``services/seat-check/timeout_ms``."""

from typing import Any

from trefoilhook.exceptions import RequestError
from trefoilhook.results import ResultCode

__all__ = ["get_value", "parse_path", "remove_value", "replace_value"]

PathSegments = tuple[str, ...]

_MAX_SEGMENTS = 16
_MAX_SEGMENT_CHARACTERS = 128


def parse_path(text: str) -> PathSegments:
    """Split a path into its segments; the empty path is the whole subtree.

    Raises
    ------
    RequestError
        If a segment is empty, too long or not printable, or there are too many.
    """
    trimmed = text.strip("/")
    if not trimmed:
        return ()
    segments = tuple(trimmed.split("/"))
    if len(segments) > _MAX_SEGMENTS:
        raise RequestError(f"the path has more than {_MAX_SEGMENTS} segments")
    for segment in segments:
        if (
            not segment
            or len(segment) > _MAX_SEGMENT_CHARACTERS
            or not segment.isprintable()
        ):
            raise RequestError(
                f"the path {text[:_MAX_SEGMENT_CHARACTERS]!r} is malformed"
            )
    return segments


def _build_not_found_error(segments: PathSegments) -> RequestError:
    where = "/".join(segments) or "(whole)"
    return RequestError(f"no value at {where}", code=ResultCode.NOT_FOUND)


def get_value(tree: dict[str, Any], segments: PathSegments) -> Any:
    """Return the value at a path.

    Raises
    ------
    RequestError
        With code NOT_FOUND, if the path doesn't exist.
    """
    value: Any = tree
    for depth, segment in enumerate(segments, start=1):
        if not isinstance(value, dict) or segment not in value:
            raise _build_not_found_error(segments[:depth])
        value = value[segment]
    return value


def replace_value(
    tree: dict[str, Any], segments: PathSegments, value: Any
) -> dict[str, Any]:
    """Return a copy of ``tree`` with ``value`` at a path; missing objects are created.

    Raises
    ------
    RequestError
        If a parent of the path is not an object, or the whole subtree would not be one.
    """
    if not segments:
        if not isinstance(value, dict):
            raise RequestError("a team's subtree must be an object")
        return value
    segment, rest = segments[0], segments[1:]
    if not rest:
        return {**tree, segment: value}
    inner = tree.get(segment)
    if inner is None:
        inner = {}
    if not isinstance(inner, dict):
        raise RequestError(f"{segment} is not an object, so it can't contain values")
    return {**tree, segment: replace_value(inner, rest, value)}


def remove_value(tree: dict[str, Any], segments: PathSegments) -> dict[str, Any]:
    """Return a copy of ``tree`` without the value at a path.

    Raises
    ------
    RequestError
        With code NOT_FOUND, if the path doesn't exist.
    """
    get_value(tree, segments)
    if not segments:
        return {}
    segment, rest = segments[0], segments[1:]
    if rest:
        return {**tree, segment: remove_value(tree[segment], rest)}
    return {name: value for name, value in tree.items() if name != segment}
