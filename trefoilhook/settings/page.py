"""The reference page of all settings, generated from their declarations."""

import json
from collections.abc import Iterator
from typing import Any, Literal, get_args, get_origin

import attrs

from trefoilhook.settings.core import Declaration, find_declaration
from trefoilhook.settings.reader import dump_json

__all__ = ["render_page"]

_TABLE_HEADER = (
    "| setting | type | default | unit | description |\n|---|---|---|---|---|"
)

_SCALAR_TYPE_NAMES = {bool: "boolean", float: "number", int: "integer", str: "string"}


def _strip_none(kind: Any) -> Any:
    choices = [choice for choice in get_args(kind) if choice is not type(None)]
    is_optional = type(None) in get_args(kind) and len(choices) == 1
    return choices[0] if is_optional else kind


def _find_section(kind: Any) -> type[Any] | None:
    """Return the attrs class in a type, also in a list, mapping or optional type."""
    kind = _strip_none(kind)
    is_many = get_origin(kind) in (tuple, dict)
    for candidate in get_args(kind) if is_many else (kind,):
        if isinstance(candidate, type) and attrs.has(candidate):
            return candidate
    return None


def _name_type(kind: Any) -> str:
    bare = _strip_none(kind)
    if bare is not kind:
        return f"{_name_type(bare)} or null"
    if get_origin(bare) is Literal:
        return " or ".join(f"`{choice}`" for choice in get_args(bare))
    if get_origin(bare) is tuple:
        return f"list of {_name_type(get_args(bare)[0])}"
    if get_origin(bare) is dict:
        return f"object of {_name_type(get_args(bare)[1])}"
    return _SCALAR_TYPE_NAMES.get(bare, "object")


def _format_default(field: "attrs.Attribute[Any]", declaration: Declaration) -> str:
    if field.default is attrs.NOTHING:
        return "required"
    default = field.default
    if isinstance(default, attrs.Factory):  # type: ignore[arg-type]
        default = default.factory()  # type: ignore[union-attr]
    return "`" + json.dumps(dump_json(default)) + "`"


def _is_nested(field: "attrs.Attribute[Any]") -> bool:
    return _find_section(field.type) is not None


def _list_rows(cls: type[Any]) -> Iterator[str]:
    for field in attrs.fields(cls):
        declaration = find_declaration(field)
        if _is_nested(field) and not isinstance(field.default, (tuple, type(None))):
            continue
        default = _format_default(field, declaration)
        cells = (
            f"`{field.name}`",
            _name_type(field.type),
            default,
            declaration.unit,
            declaration.description,
        )
        yield "| " + " | ".join(cells) + " |"


def _render_section(cls: type[Any], path: str, description: str) -> Iterator[str]:
    rows = list(_list_rows(cls))
    if path:
        yield f"\n## `{path}`\n\n{description}"
    if rows:
        yield f"\n{_TABLE_HEADER}"
        yield from rows
    for field in attrs.fields(cls):
        section = _find_section(field.type)
        if section is None:
            continue
        declaration = find_declaration(field)
        segment = _build_path_segment(field)
        inner_path = f"{path}/{segment}" if path else segment
        yield from _render_section(section, inner_path, declaration.description)


def _build_path_segment(field: "attrs.Attribute[Any]") -> str:
    origin = get_origin(_strip_none(field.type))
    if origin is tuple:
        return f"{field.name}/N"
    if origin is dict:
        return f"{field.name}/NAME"
    return field.name


def render_page(cls: type[Any], *, header: str) -> str:
    """Return the reference page of a settings class as Markdown.

    Parameters
    ----------
    cls : type
        The attrs class that holds all sections.
    header : str
        Title and introduction of the page.
    """
    return "\n".join((header.rstrip("\n"), *_render_section(cls, "", ""))) + "\n"
