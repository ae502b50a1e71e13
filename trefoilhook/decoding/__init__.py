"""Strict decoding of JSON from external sources."""

from trefoilhook.decoding.core import (
    MAX_INTEGER,
    check_integer,
    check_number,
    check_object,
    check_string,
    parse_json,
    parse_object,
    read_boolean,
    read_choice,
    read_integer,
    read_list,
    read_number,
    read_object,
    read_string,
    read_strings,
)

__all__ = [
    "MAX_INTEGER",
    "check_integer",
    "check_number",
    "check_object",
    "check_string",
    "parse_json",
    "parse_object",
    "read_choice",
    "read_boolean",
    "read_integer",
    "read_list",
    "read_number",
    "read_object",
    "read_string",
    "read_strings",
]
