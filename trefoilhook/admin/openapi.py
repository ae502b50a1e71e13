"""OpenAPI 3.1 description of the admin API, generated from the table of routes."""

import enum
import json
import re
from typing import Any, Literal, get_args, get_origin

import attrs

from trefoilhook import __version__
from trefoilhook.admin.calls import Parameter, Route, Scope
from trefoilhook.admin.errors import ErrorBody
from trefoilhook.admin.routes import ROUTES
from trefoilhook.settings.core import find_declaration
from trefoilhook.settings.reader import dump_json

__all__ = ["build_openapi", "render_openapi"]

Schema = dict[str, Any]

_PRIMITIVE_SCHEMAS: dict[Any, Schema] = {
    bool: {"type": "boolean"},
    float: {"type": "number"},
    int: {"type": "integer"},
    str: {"type": "string"},
    type(None): {"type": "null"},
}
_PATH_PARAMETER = re.compile(r"{(\w+)(?:\.\.\.)?}")


def _build_schema(kind: Any, schemas: dict[str, Schema]) -> Schema:
    if kind in _PRIMITIVE_SCHEMAS:
        return _PRIMITIVE_SCHEMAS[kind]
    origin = get_origin(kind)
    if origin is Literal:
        return {"type": "string", "enum": list(get_args(kind))}
    if origin is tuple:
        items = _build_schema(get_args(kind)[0], schemas)
        return {"type": "array", "items": items}
    if origin is dict:
        values = _build_schema(get_args(kind)[1], schemas)
        return {"type": "object", "additionalProperties": values}
    if get_args(kind):
        return {"anyOf": [_build_schema(one, schemas) for one in get_args(kind)]}
    return _build_class_schema(kind, schemas)


def _build_class_schema(kind: Any, schemas: dict[str, Schema]) -> Schema:
    if isinstance(kind, type) and issubclass(kind, enum.Enum):
        return {"type": "string", "enum": [member.value for member in kind]}
    if not (isinstance(kind, type) and attrs.has(kind)):
        return {}
    if kind.__name__ not in schemas:
        schemas[kind.__name__] = {}
        schemas[kind.__name__] = _describe_class(kind, schemas)
    return {"$ref": f"#/components/schemas/{kind.__name__}"}


def _describe_class(kind: type[Any], schemas: dict[str, Schema]) -> Schema:
    properties: dict[str, Schema] = {}
    required = []
    for field in attrs.fields(kind):
        schema = dict(_build_schema(field.type, schemas))
        declaration = find_declaration(field)
        if declaration.description:
            schema["description"] = declaration.description
        if field.default is attrs.NOTHING:
            required.append(field.name)
        elif not isinstance(field.default, attrs.Factory):  # type: ignore[arg-type]
            schema["default"] = dump_json(field.default)
        properties[field.name] = schema
    summary = (kind.__doc__ or "").strip().splitlines()[0]
    described: Schema = {"type": "object", "description": summary}
    described["properties"] = properties
    if required:
        described["required"] = required
    return described


def _describe_query_parameter(parameter: Parameter) -> Schema:
    return {
        "name": parameter.name,
        "in": "query",
        "description": parameter.description,
        "schema": {"type": parameter.schema_type},
    }


def _describe_path_parameter(name: str) -> Schema:
    return {
        "name": name,
        "in": "path",
        "required": True,
        "schema": {"type": "string"},
    }


def _describe_route(route: Route, schemas: dict[str, Schema]) -> Schema:
    path_parameters = [
        _describe_path_parameter(name)
        for name in _PATH_PARAMETER.findall(route.template)
    ]
    query_parameters = [
        _describe_query_parameter(parameter) for parameter in route.query
    ]
    if route.response is None:
        content: Schema = {"text/plain": {"schema": {"type": "string"}}}
    else:
        schema = _build_schema(route.response, schemas)
        content = {"application/json": {"schema": schema}}
    error = {"application/json": {"schema": _build_schema(ErrorBody, schemas)}}
    described: Schema = {
        "summary": route.summary,
        "description": f"Token: {route.scope.value}.",
        "responses": {
            "2XX": {"description": "Done.", "content": content},
            "default": {"description": "Refused or failed.", "content": error},
        },
    }
    if path_parameters or query_parameters:
        described["parameters"] = path_parameters + query_parameters
    if route.body is not None:
        schema = _build_schema(route.body, schemas)
        described["requestBody"] = {
            "required": True,
            "content": {"application/json": {"schema": schema}},
        }
    if route.scope is not Scope.PUBLIC:
        described["security"] = [{"bearer": []}]
    return described


def build_openapi() -> Schema:
    """Return the OpenAPI description of the admin API as JSON values."""
    schemas: dict[str, Schema] = {}
    paths: dict[str, Schema] = {}
    for route in ROUTES:
        path = route.template.replace("...}", "}")
        described = _describe_route(route, schemas)
        paths.setdefault(path, {})[route.method.lower()] = described
    return {
        "openapi": "3.1.0",
        "info": {"title": "trefoilhook admin API", "version": __version__},
        "paths": paths,
        "components": {
            "schemas": dict(sorted(schemas.items())),
            "securitySchemes": {"bearer": {"type": "http", "scheme": "bearer"}},
        },
    }


def render_openapi() -> str:
    """Return the OpenAPI description of the admin API as JSON text."""
    return json.dumps(build_openapi(), indent=1) + "\n"
