"""Reading of JSON into declared classes; everything doubtful is refused.

cattrs does the structuring. Its own conversions would turn ``"5"`` into 5 and a text
into a tuple of letters; the hooks below refuse a value of another type instead.
"""

import json
import math
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any, Literal, TypeVar, get_args, get_origin

import attrs
import cattrs
from cattrs.cols import (
    homogenous_tuple_structure_factory,
    mapping_structure_factory,
)
from cattrs.errors import (
    AttributeValidationNote,
    ClassValidationError,
    ForbiddenExtraKeysError,
    IterableValidationError,
)
from cattrs.gen import make_dict_structure_fn

from trefoilhook.settings.core import FieldError, find_declaration
from trefoilhook.settings.problems import (
    HIDDEN,
    InvalidSettingsError,
    SettingProblem,
    find_nearest,
    show_value,
)

__all__ = [
    "dump_json",
    "load_settings",
    "parse_json",
    "read_message",
    "read_settings",
]

T = TypeVar("T")
_Hook = Callable[[Any, Any], Any]
_Path = tuple[str, ...]

_TYPE_NAMES = {
    bool: "true or false",
    dict: "an object",
    float: "a number",
    int: "a whole number",
    list: "a list",
    str: "a text",
}


class _ValueError(Exception):
    """A value can't be structured."""

    def __init__(self, value: object, reason: str, nearest: str = "") -> None:
        super().__init__(reason)
        self.value = value
        self.reason = reason
        self.nearest = nearest


def _require(value: object, wanted: type, *accepted: type) -> None:
    is_misread_bool = isinstance(value, bool) and wanted is not bool
    if is_misread_bool or not isinstance(value, (wanted, *accepted)):
        raise _ValueError(value, f"must be {_TYPE_NAMES[wanted]}")


def _read_plain(wanted: type) -> _Hook:
    def read(value: Any, _: Any) -> Any:
        _require(value, wanted)
        return value

    return read


def _read_float(value: Any, _: Any) -> float:
    _require(value, float, int)
    try:
        number = float(value)
    except OverflowError as error:
        raise _ValueError(value, "is too large") from error
    if not math.isfinite(number):
        raise _ValueError(value, "must be finite")
    return number


def _read_literal(value: Any, wanted: Any) -> Any:
    choices = get_args(wanted)
    if isinstance(value, str) and value in choices:
        return value
    nearest = find_nearest(value, choices) if isinstance(value, str) else ""
    raise _ValueError(value, f"must be one of {', '.join(choices)}", nearest)


def _guard(wanted: type, read: Any) -> _Hook:
    def check(value: Any, target: Any) -> Any:
        _require(value, wanted)
        return read(value, target)

    return check


def _is_generic(kind: Any, origin: Any) -> bool:
    return get_origin(kind) is origin


def _build_converter(*, is_strict: bool) -> cattrs.Converter:
    """Build a converter; one that is not strict passes unknown names over."""
    converter = cattrs.Converter(detailed_validation=True)

    @converter.register_structure_hook_factory(attrs.has)
    def build_class_hook(target: Any) -> _Hook:
        read = make_dict_structure_fn(
            target, converter, _cattrs_forbid_extra_keys=is_strict
        )
        return _guard(dict, read)

    @converter.register_structure_hook_factory(lambda kind: _is_generic(kind, tuple))
    def build_tuple_hook(target: Any) -> _Hook:
        return _guard(list, homogenous_tuple_structure_factory(target, converter))

    @converter.register_structure_hook_factory(lambda kind: _is_generic(kind, dict))
    def build_mapping_hook(target: Any) -> _Hook:
        return _guard(dict, mapping_structure_factory(target, converter))

    converter.register_structure_hook_func(
        lambda kind: _is_generic(kind, Literal), _read_literal
    )
    for wanted in (bool, int, str):
        converter.register_structure_hook(wanted, _read_plain(wanted))
    converter.register_structure_hook(float, _read_float)
    return converter


_CONVERTER = _build_converter(is_strict=True)
_LENIENT_CONVERTER = _build_converter(is_strict=False)


def _find_value(data: Any, path: _Path) -> Any:
    for step in path:
        data = data[int(step)] if isinstance(data, list) else data[step]
    return data


def _is_secret(cls: type[Any], name: str) -> bool:
    fields = attrs.fields_dict(cls)
    return name in fields and find_declaration(fields[name]).is_secret


def _list_unknown(
    error: ForbiddenExtraKeysError, path: _Path, data: Any
) -> Iterator[SettingProblem]:
    names = attrs.fields_dict(error.cl)
    for name in sorted(error.extra_fields, key=str):
        steps = (*path, str(name))
        value = _find_value(data, steps)
        nearest = find_nearest(str(name), names)
        hidden = bool(nearest) and _is_secret(error.cl, nearest)
        yield SettingProblem(
            path="/".join(steps),
            value=HIDDEN if hidden else show_value(value),
            reason="is not a known setting",
            nearest=nearest,
        )


def _describe(error: Exception, path: _Path, hidden: bool) -> SettingProblem:
    if isinstance(error, FieldError):
        path = (*path, error.name)
    where = "/".join(path)
    if isinstance(error, KeyError):
        return SettingProblem(path=where, value="", reason="is required")
    if isinstance(error, (FieldError, _ValueError)):
        return SettingProblem(
            path=where,
            value=HIDDEN if hidden else show_value(error.value),
            reason=error.reason,
            nearest=getattr(error, "nearest", ""),
        )
    return SettingProblem(path=where, value="", reason="can't be read")


def _list_problems(
    error: Exception, path: _Path, data: Any, hidden: bool
) -> Iterator[SettingProblem]:
    if isinstance(error, ForbiddenExtraKeysError):
        yield from _list_unknown(error, path, data)
        return
    if not isinstance(error, (ClassValidationError, IterableValidationError)):
        yield _describe(error, path, hidden)
        return
    noted, others = error.group_exceptions()
    for cause, note in noted:
        covered = hidden
        if isinstance(note, AttributeValidationNote):
            step = note.name
            covered |= _is_secret(error.cl, step)
        else:
            step = str(note.index)
        yield from _list_problems(cause, (*path, step), data, covered)
    for cause in others:
        covered = hidden
        if isinstance(cause, FieldError):
            covered |= _is_secret(error.cl, cause.name)
        yield from _list_problems(cause, path, data, covered)


def read_settings(cls: type[T], data: Any) -> T:
    """Read parsed JSON into a declared class.

    Parameters
    ----------
    cls : type
        An attrs class whose fields were made by ``declare``.
    data : object
        Parsed JSON.

    Raises
    ------
    InvalidSettingsError
        If a name is unknown, a type wrong, a value out of bounds or a combination
        impossible; lists the problems with path, value, reason and nearest name.
    """
    return _read(_CONVERTER, cls, data)


def read_message(cls: type[T], data: Any) -> T:
    """Read parsed JSON from another version of the system; see `read_settings`.

    Unknown names are passed over, since a newer version may have added some.
    """
    return _read(_LENIENT_CONVERTER, cls, data)


def _read(converter: cattrs.Converter, cls: type[T], data: Any) -> T:
    try:
        return converter.structure(data, cls)
    except RecursionError:
        problem = SettingProblem(path="", value="", reason="is nested too deeply")
        raise InvalidSettingsError(problems=[problem]) from None
    except Exception as error:
        problems = list(_list_problems(error, (), data, False))
        raise InvalidSettingsError(problems=problems) from None


def _refuse_duplicates(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    result: dict[str, Any] = {}
    for name, value in pairs:
        if name in result:
            raise _ValueError(name, f"{name!r} is given twice")
        result[name] = value
    return result


def _refuse_constant(name: str) -> float:
    raise _ValueError(name, f"{name} is not JSON")


def parse_json(text: str | bytes) -> Any:
    """Parse strict JSON: no doubled names, no infinities.

    Raises
    ------
    InvalidSettingsError
        If the text is not JSON.
    """
    try:
        return json.loads(
            text,
            object_pairs_hook=_refuse_duplicates,
            parse_constant=_refuse_constant,
        )
    except _ValueError as error:
        reason = error.reason
    except RecursionError:
        reason = "is nested too deeply"
    except ValueError as error:
        reason = f"is not JSON: {error}"
    problem = SettingProblem(path="", value="", reason=reason)
    raise InvalidSettingsError(problems=[problem])


def load_settings(cls: type[T], path: Path) -> T:
    """Read a settings file into a declared class.

    Raises
    ------
    InvalidSettingsError
        If the file can't be read, is not JSON or holds refused values.
    """
    try:
        text = path.read_bytes()
    except OSError as error:
        reason = f"can't be read: {error.strerror}"
        problem = SettingProblem(path=str(path), value="", reason=reason)
        raise InvalidSettingsError(problems=[problem]) from error
    return read_settings(cls, parse_json(text))


def dump_json(value: object) -> Any:
    """Return a declared object as plain JSON values."""
    return _CONVERTER.unstructure(value)
