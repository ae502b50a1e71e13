"""Errors found in settings, one problem per line."""

import json
from collections.abc import Iterable
from difflib import get_close_matches

import attrs

from trefoilhook.exceptions import SettingsError

__all__ = ["InvalidSettingsError", "SettingProblem", "find_nearest"]

_MAX_VALUE_CHARACTERS = 80
_MAX_PROBLEMS = 50
_NEAREST_CUTOFF = 0.5

HIDDEN = "(hidden)"


@attrs.frozen(kw_only=True)
class SettingProblem:
    """One reason why settings are refused.

    Parameters
    ----------
    path : str
        Path of the value, its segments joined by ``/``.
    value : str
        The value as truncated JSON; empty if it is missing.
    reason : str
        Why the value is refused.
    nearest : str, optional
        The valid name or choice most similar to the given one.
    """

    path: str
    value: str
    reason: str
    nearest: str = ""

    def __str__(self) -> str:
        shown = f" = {self.value}" if self.value else ""
        hint = f"; did you mean {self.nearest!r}?" if self.nearest else ""
        return f"{self.path or '(whole)'}{shown}: {self.reason}{hint}"


class InvalidSettingsError(SettingsError):
    """Settings are refused; none of them is applied.

    Parameters
    ----------
    problems : sequence of SettingProblem
        All problems found; at most 50 are kept.
    """

    def __init__(self, *, problems: Iterable[SettingProblem]) -> None:
        self.problems = tuple(problems)[:_MAX_PROBLEMS]
        super().__init__("\n".join(str(problem) for problem in self.problems))


def show_value(value: object) -> str:
    """Return a value as truncated JSON, for display.

    The contents of lists and objects are hidden: a misspelt name may hold a secret.
    """
    if isinstance(value, dict):
        return "{...}" if value else "{}"
    if isinstance(value, list):
        return "[...]" if value else "[]"
    text = json.dumps(value, default=str)
    if len(text) <= _MAX_VALUE_CHARACTERS:
        return text
    return text[: _MAX_VALUE_CHARACTERS - 3] + "..."


def find_nearest(name: str, choices: Iterable[str]) -> str:
    """Return the choice that is most similar to ``name``, or an empty string."""
    found = get_close_matches(name, sorted(choices), n=1, cutoff=_NEAREST_CUTOFF)
    return found[0] if found else ""
