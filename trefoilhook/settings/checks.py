"""Validators of single values, for `declare`."""

import ipaddress
import re
from collections.abc import Sequence
from typing import Any

from trefoilhook.settings.core import Check

__all__ = ["is_digest", "is_host", "check_name", "check_choice", "check_range"]

_NAME = re.compile(r"[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?")
_DIGEST = re.compile(r"[0-9a-f]{64}")


def check_range(low: float, high: float) -> Check:
    """Build a check that a number lies between two bounds, both inclusive."""

    def check(value: Any) -> str | None:
        if low <= value <= high:
            return None
        return f"must lie between {low:g} and {high:g}"

    return check


def check_choice(choices: Sequence[str]) -> Check:
    """Build a check that a string is one of ``choices``."""

    def check(value: Any) -> str | None:
        return None if value in choices else f"must be one of {', '.join(choices)}"

    return check


def check_name(value: Any) -> str | None:
    """Check that a string is a valid path segment: lower case, digits and hyphens."""
    if _NAME.fullmatch(value):
        return None
    return "must be 1 to 63 lower-case letters, digits or inner hyphens"


def is_host(value: Any) -> str | None:
    """Check that a string is an IP address; host names are not resolved."""
    try:
        ipaddress.ip_address(value)
    except ValueError:
        return "must be an IP address"
    return None


def is_digest(value: Any) -> str | None:
    """Check that a string, or each of several, is a SHA-256 digest in hexadecimal."""
    digests = (value,) if isinstance(value, str) else value
    if all(_DIGEST.fullmatch(digest) for digest in digests):
        return None
    return "must be a SHA-256 digest: 64 lower-case hexadecimal digits"
