"""Strict decoding of JSON from external sources."""

from trefoilhook.decoding.core import (
    MOST_INTEGER,
    check_integer,
    check_number,
    check_table,
    check_text,
    parse_json,
    parse_table,
    read_choice,
    read_flag,
    read_integer,
    read_list,
    read_number,
    read_table,
    read_text,
    read_texts,
)

__all__ = [
    "MOST_INTEGER",
    "check_integer",
    "check_number",
    "check_table",
    "check_text",
    "parse_json",
    "parse_table",
    "read_choice",
    "read_flag",
    "read_integer",
    "read_list",
    "read_number",
    "read_table",
    "read_text",
    "read_texts",
]
