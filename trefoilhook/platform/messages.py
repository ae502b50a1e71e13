"""Typed messages of the platform's key-value store, and the error that carries one."""

import attrs

from trefoilhook.exceptions import StoreError
from trefoilhook.results import ResultCode

__all__ = [
    "MAX_ROWS",
    "Change",
    "Changes",
    "Expectation",
    "Item",
    "Listing",
    "PreconditionError",
    "Put",
    "Transaction",
]

MAX_ROWS = 32
"""Most rows of one transaction, preconditions included; the platform's limit."""


@attrs.frozen(kw_only=True)
class Item:
    """A key as it stands in the store.

    Parameters
    ----------
    key : str
        Its path.
    value : bytes
        What it holds.
    revision : int
        The store's revision when it was last changed.
    created : int
        The store's revision when it came to be.
    """

    key: str
    value: bytes
    revision: int
    created: int


@attrs.frozen(kw_only=True)
class Listing:
    """All keys under a prefix; ``as_of`` is a revision that a watch may begin at."""

    items: tuple[Item, ...]
    as_of: int


@attrs.frozen(kw_only=True)
class Change:
    """One change of a key; ``item`` is None when the key was removed."""

    key: str
    revision: int
    item: Item | None


@attrs.frozen(kw_only=True)
class Changes:
    """What a watch saw, in order; the next watch begins after ``as_of``."""

    changes: tuple[Change, ...]
    as_of: int


@attrs.frozen(kw_only=True)
class Expectation:
    """The revision that a key must have; 0 when it must be absent."""

    key: str
    revision: int


@attrs.frozen(kw_only=True)
class Put:
    """A value to write; ``lease`` 0 keeps it until it is removed."""

    key: str
    value: bytes
    lease: int = 0


@attrs.frozen(kw_only=True)
class Transaction:
    """Changes that happen together, if all expectations hold, or not at all."""

    expectations: tuple[Expectation, ...] = ()
    puts: tuple[Put, ...] = ()
    removals: tuple[str, ...] = ()


class PreconditionError(StoreError):
    """A transaction's expectations do not hold; nothing changed.

    Parameters
    ----------
    message : str
        What happened, for people.
    items : tuple of Item
        What stands at the expected keys now; absent keys are left out.
    """

    code = ResultCode.CONFLICT

    def __init__(self, message: str, *, items: tuple[Item, ...]) -> None:
        super().__init__(message)
        self.items = items
