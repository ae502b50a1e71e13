"""Declaration of settings: default, unit, check and description in one place.

A section is an attrs class whose fields are made by `declare`. The reader, the check of
the daemon's settings file and the reference page are all derived from it.
"""

from collections.abc import Callable
from typing import Any

import attrs

__all__ = ["Check", "Declaration", "FieldError", "declare", "declare_section"]

#: Returns the reason why a value is refused, or None if it is accepted.
Check = Callable[[Any], str | None]

_METADATA_KEY = "trefoilhook.setting"


@attrs.frozen(kw_only=True)
class Declaration:
    """Metadata of a setting besides its name, type and default.

    Parameters
    ----------
    description : str
        One or two sentences for operators.
    unit : str, optional
        Unit of the value; empty for dimensionless values.
    is_secret : bool, optional
        Whether the value must never be displayed.
    """

    description: str
    unit: str = ""
    is_secret: bool = False


class FieldError(ValueError):
    """A settings class refused a value or a combination of values.

    Parameters
    ----------
    name : str
        Name of the field at fault.
    value : object
        The refused value.
    reason : str
        Why it is refused.
    """

    def __init__(self, *, name: str, value: object, reason: str) -> None:
        super().__init__(f"{name}: {reason}")
        self.name = name
        self.value = value
        self.reason = reason


def _build_validator(check: Check) -> Callable[[Any, Any, Any], None]:
    def validate(_: object, attribute: Any, value: object) -> None:
        if value is None:
            return
        reason = check(value)
        if reason is not None:
            raise FieldError(name=attribute.name, value=value, reason=reason)

    return validate


def declare(
    *,
    description: str,
    default: Any = attrs.NOTHING,
    unit: str = "",
    check: Check | None = None,
    is_secret: bool = False,
) -> Any:
    """Declare one setting of a section.

    Parameters
    ----------
    description : str
        One or two sentences for operators.
    default : object, optional
        Value when the setting is not given; without one the setting is required.
    unit : str, optional
        Unit of the value.
    check : callable, optional
        Returns the reason why a value is refused, or None. Not called for None.
    is_secret : bool, optional
        Whether the value must never be displayed, not even in an error message.

    Returns
    -------
    object
        A field specifier for the body of an attrs class.
    """
    declaration = Declaration(description=description, unit=unit, is_secret=is_secret)
    return attrs.field(
        default=default,
        validator=None if check is None else _build_validator(check),
        metadata={_METADATA_KEY: declaration},
    )


def declare_section(section: type[Any], *, description: str) -> Any:
    """Declare a nested section whose settings all have defaults.

    Parameters
    ----------
    section : type
        The attrs class of the section.
    description : str
        One or two sentences for operators.
    """
    declaration = Declaration(description=description)
    return attrs.field(factory=section, metadata={_METADATA_KEY: declaration})


def find_declaration(field: "attrs.Attribute[Any]") -> Declaration:
    """Return the declaration of a field, or an empty declaration."""
    found = field.metadata.get(_METADATA_KEY)
    return found if isinstance(found, Declaration) else Declaration(description="")
