"""Strict reading of JSON into classes of declared settings.

The structuring is done by cattrs. Its default conversions would turn ``"5"`` into 5 and
a string into a tuple of characters; the hooks below refuse values of the wrong type.
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
_StructureHook = Callable[[Any, Any], Any]
_Path = tuple[str, ...]

_TYPE_NAMES = {
    bool: "a boolean",
    dict: "an object",
    float: "a number",
    int: "an integer",
    list: "a list",
    str: "a string",
}


class _InvalidValueError(Exception):
    """A value can't be structured."""

    def __init__(self, value: object, reason: str, nearest: str = "") -> None:
        super().__init__(reason)
        self.value = value
        self.reason = reason
        self.nearest = nearest


def _require_type(value: object, wanted: type, *accepted: type) -> None:
    is_misread_bool = isinstance(value, bool) and wanted is not bool
    if is_misread_bool or not isinstance(value, (wanted, *accepted)):
        raise _InvalidValueError(value, f"must be {_TYPE_NAMES[wanted]}")


def _build_scalar_hook(wanted: type) -> _StructureHook:
    def read(value: Any, _: Any) -> Any:
        _require_type(value, wanted)
        return value

    return read


def _read_float(value: Any, _: Any) -> float:
    _require_type(value, float, int)
    try:
        number = float(value)
    except OverflowError as error:
        raise _InvalidValueError(value, "is too large") from error
    if not math.isfinite(number):
        raise _InvalidValueError(value, "must be finite")
    return number


def _read_literal(value: Any, wanted: Any) -> Any:
    choices = get_args(wanted)
    if isinstance(value, str) and value in choices:
        return value
    nearest = find_nearest(value, choices) if isinstance(value, str) else ""
    raise _InvalidValueError(value, f"must be one of {', '.join(choices)}", nearest)


def _with_type_check(wanted: type, read: Any) -> _StructureHook:
    def check(value: Any, target: Any) -> Any:
        _require_type(value, wanted)
        return read(value, target)

    return check


def _is_generic(kind: Any, origin: Any) -> bool:
    return get_origin(kind) is origin


def _build_converter(*, is_strict: bool) -> cattrs.Converter:
    """Build a converter; one that is not strict ignores unknown names."""
    converter = cattrs.Converter(detailed_validation=True)

    @converter.register_structure_hook_factory(attrs.has)
    def build_class_hook(target: Any) -> _StructureHook:
        read = make_dict_structure_fn(
            target, converter, _cattrs_forbid_extra_keys=is_strict
        )
        return _with_type_check(dict, read)

    @converter.register_structure_hook_factory(lambda kind: _is_generic(kind, tuple))
    def build_tuple_hook(target: Any) -> _StructureHook:
        return _with_type_check(
            list, homogenous_tuple_structure_factory(target, converter)
        )

    @converter.register_structure_hook_factory(lambda kind: _is_generic(kind, dict))
    def build_mapping_hook(target: Any) -> _StructureHook:
        return _with_type_check(dict, mapping_structure_factory(target, converter))

    converter.register_structure_hook_func(
        lambda kind: _is_generic(kind, Literal), _read_literal
    )
    for wanted in (bool, int, str):
        converter.register_structure_hook(wanted, _build_scalar_hook(wanted))
    converter.register_structure_hook(float, _read_float)
    return converter


_CONVERTER = _build_converter(is_strict=True)
_LENIENT_CONVERTER = _build_converter(is_strict=False)


def _find_value(data: Any, path: _Path) -> Any:
    for segment in path:
        data = data[int(segment)] if isinstance(data, list) else data[segment]
    return data


def _is_secret(cls: type[Any], name: str) -> bool:
    fields = attrs.fields_dict(cls)
    return name in fields and find_declaration(fields[name]).is_secret


def _list_unknown(
    error: ForbiddenExtraKeysError, path: _Path, data: Any
) -> Iterator[SettingProblem]:
    names = attrs.fields_dict(error.cl)
    for name in sorted(error.extra_fields, key=str):
        segments = (*path, str(name))
        value = _find_value(data, segments)
        nearest = find_nearest(str(name), names)
        is_hidden = bool(nearest) and _is_secret(error.cl, nearest)
        yield SettingProblem(
            path="/".join(segments),
            value=HIDDEN if is_hidden else show_value(value),
            reason="is not a known setting",
            nearest=nearest,
        )


def _build_problem(error: Exception, path: _Path, is_hidden: bool) -> SettingProblem:
    if isinstance(error, FieldError):
        path = (*path, error.name)
    where = "/".join(path)
    if isinstance(error, KeyError):
        return SettingProblem(path=where, value="", reason="is required")
    if isinstance(error, (FieldError, _InvalidValueError)):
        return SettingProblem(
            path=where,
            value=HIDDEN if is_hidden else show_value(error.value),
            reason=error.reason,
            nearest=getattr(error, "nearest", ""),
        )
    return SettingProblem(path=where, value="", reason="can't be read")


def _list_problems(
    error: Exception, path: _Path, data: Any, is_hidden: bool
) -> Iterator[SettingProblem]:
    if isinstance(error, ForbiddenExtraKeysError):
        yield from _list_unknown(error, path, data)
        return
    if not isinstance(error, (ClassValidationError, IterableValidationError)):
        yield _build_problem(error, path, is_hidden)
        return
    noted, others = error.group_exceptions()
    for cause, note in noted:
        is_secret = is_hidden
        if isinstance(note, AttributeValidationNote):
            segment = note.name
            is_secret |= _is_secret(error.cl, segment)
        else:
            segment = str(note.index)
        yield from _list_problems(cause, (*path, segment), data, is_secret)
    for cause in others:
        is_secret = is_hidden
        if isinstance(cause, FieldError):
            is_secret |= _is_secret(error.cl, cause.name)
        yield from _list_problems(cause, path, data, is_secret)


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
        invalid; lists all problems with path, value, reason and nearest name.
    """
    return _read(_CONVERTER, cls, data)


def read_message(cls: type[T], data: Any) -> T:
    """Read parsed JSON from another version of the system; see `read_settings`.

    Unknown names are ignored, as a newer version may have added them.
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
            raise _InvalidValueError(name, f"{name!r} is a duplicate name")
        result[name] = value
    return result


def _refuse_constant(name: str) -> float:
    raise _InvalidValueError(name, f"{name} is not JSON")


def parse_json(text: str | bytes) -> Any:
    """Parse strict JSON: duplicate names, ``NaN`` and infinities are refused.

    Raises
    ------
    InvalidSettingsError
        If the text is not strict JSON.
    """
    try:
        return json.loads(
            text,
            object_pairs_hook=_refuse_duplicates,
            parse_constant=_refuse_constant,
        )
    except _InvalidValueError as error:
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
        If the file can't be read, is not JSON or holds invalid values.
    """
    try:
        text = path.read_bytes()
    except OSError as error:
        reason = f"can't be read: {error.strerror}"
        problem = SettingProblem(path=str(path), value="", reason=reason)
        raise InvalidSettingsError(problems=[problem]) from error
    return read_settings(cls, parse_json(text))


def dump_json(value: object) -> Any:
    """Return an object of a declared class as plain JSON values."""
    return _CONVERTER.unstructure(value)
