"""Messages of the platform's key-value store."""

import attrs

from trefoilhook.exceptions import StoreError
from trefoilhook.results import ResultCode

__all__ = [
    "MAX_ROWS",
    "Change",
    "Changes",
    "Precondition",
    "Item",
    "Listing",
    "PreconditionError",
    "Put",
    "Transaction",
]

MAX_ROWS = 32
"""The platform's limit on the rows of a transaction, including preconditions."""


@attrs.frozen(kw_only=True)
class Item:
    """A key in the store with its value.

    Parameters
    ----------
    key : str
        Path of the key.
    value : bytes
        Value of the key.
    revision : int
        Revision of the store at the last change of the key.
    created : int
        Revision of the store at the creation of the key.
    """

    key: str
    value: bytes
    revision: int
    created: int


@attrs.frozen(kw_only=True)
class Listing:
    """All keys under a prefix; a watch after ``as_of`` reports all later changes."""

    items: tuple[Item, ...]
    as_of: int


@attrs.frozen(kw_only=True)
class Change:
    """One change of a key; ``item`` is None if the key was removed."""

    key: str
    revision: int
    item: Item | None


@attrs.frozen(kw_only=True)
class Changes:
    """The changes of one watch, in order; the next watch starts after ``as_of``."""

    changes: tuple[Change, ...]
    as_of: int


@attrs.frozen(kw_only=True)
class Precondition:
    """The revision that a key must have, or 0 if it must not exist."""

    key: str
    revision: int


@attrs.frozen(kw_only=True)
class Put:
    """A value to write; with ``lease`` 0, it is kept until it is removed."""

    key: str
    value: bytes
    lease: int = 0


@attrs.frozen(kw_only=True)
class Transaction:
    """Changes that are applied atomically if all preconditions hold."""

    preconditions: tuple[Precondition, ...] = ()
    puts: tuple[Put, ...] = ()
    removals: tuple[str, ...] = ()


class PreconditionError(StoreError):
    """A transaction's preconditions do not hold; nothing was changed.

    Parameters
    ----------
    message : str
        Human-readable description.
    items : tuple of Item
        Current items at the keys of the preconditions, without absent keys.
    """

    code = ResultCode.CONFLICT

    def __init__(self, message: str, *, items: tuple[Item, ...]) -> None:
        super().__init__(message)
        self.items = items
