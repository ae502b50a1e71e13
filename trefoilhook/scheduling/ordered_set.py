"""Set in the order of insertion."""

from collections.abc import Iterable, Iterator, MutableSet
from typing import TypeVar

__all__ = ["OrderedSet"]

_T = TypeVar("_T")


class OrderedSet(MutableSet[_T]):
    """Set that is iterated in the order of insertion.

    The order of a built-in set of objects that are compared by identity depends on
    their addresses, so that a series of events could not be repeated exactly.

    Parameters
    ----------
    items : iterable, optional
        Initial items.
    """

    def __init__(self, items: Iterable[_T] = ()) -> None:
        self._items = dict.fromkeys(items)

    def __contains__(self, item: object) -> bool:
        return item in self._items

    def __iter__(self) -> Iterator[_T]:
        return iter(self._items)

    def __len__(self) -> int:
        return len(self._items)

    def __repr__(self) -> str:
        return f"{type(self).__name__}({list(self._items)!r})"

    def add(self, item: _T) -> None:
        """Add an item; one that is already there keeps its position."""
        self._items[item] = None

    def discard(self, item: _T) -> None:
        """Remove an item, if it is there."""
        self._items.pop(item, None)
