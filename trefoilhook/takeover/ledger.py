"""Places of the current owner's starts: written before the starts, removed after them.

Places are written in pages of one write each, which are never changed. A page is
removed with a later write once none of its places is needed, and a page with few places
left is copied, so that the stored size is bounded by the number of running tasks.
"""

from collections.abc import Callable, Iterable

import attrs

from trefoilhook.takeover.core import Place

__all__ = ["PageWrite", "PlaceLedger"]

_MAX_PLACES = 1000
"""Maximum number of places in one page, which keeps it far below the size limit of a
value."""

_MIN_LIVE_SHARE = 0.25
"""Fraction of the places of a page below which the remaining ones are copied."""

_STALL_MS = 400.0
"""Age of an unanswered write, in ms, from which starts no longer wait for it. A store
ninety times slower than usual answers in 360 ms."""

PageName = tuple[int, int]
"""Epoch and number of a page; a number is never used for two pages."""

_Key = tuple[str, int]


@attrs.frozen(kw_only=True)
class PageWrite:
    """One write: a new page, and the pages that it makes unnecessary.

    Parameters
    ----------
    name : (int, int)
        Name of the new page.
    places : tuple of Place
        Its places.
    removals : tuple of (int, int)
        Pages to remove.
    """

    name: PageName
    places: tuple[Place, ...]
    removals: tuple[PageName, ...] = ()


@attrs.define(kw_only=True)
class _Page:
    size: int
    live: set[_Key]


class PlaceLedger:
    """Places that the next owner must know.

    Parameters
    ----------
    epoch : int
        Epoch of the current owner.
    """

    def __init__(self, *, epoch: int) -> None:
        self._epoch = epoch
        self._next_number = 0
        self._pages: dict[PageName, _Page] = {}
        self._page_of: dict[_Key, PageName] = {}
        self._places: dict[_Key, Place] = {}
        self._pending: dict[_Key, Place] = {}
        self._retired: list[tuple[_Key, Callable[[], bool]]] = []
        self._write: PageWrite | None = None
        self._in_flight: frozenset[_Key] = frozenset()
        self._waiting_since_ms: float | None = None

    @property
    def has_pending(self) -> bool:
        """Whether places wait to be written."""
        return bool(self._pending)

    @property
    def recorded_count(self) -> int:
        """Number of places in the store that are still needed."""
        return len(self._page_of)

    @property
    def page_count(self) -> int:
        """Number of pages in the store."""
        return len(self._pages)

    def load(self, name: PageName, places: Iterable[Place]) -> None:
        """Add a page written by a previous owner."""
        live: set[_Key] = set()
        for place in places:
            key = (place.task, place.attempt)
            # A copy and its source may both be stored; the later page is kept.
            self._forget_page_of(key)
            self._places[key] = place
            self._page_of[key] = name
            live.add(key)
        self._pages[name] = _Page(size=len(live), live=live)

    def list_places(self) -> list[Place]:
        """Return the places in the store that are still needed."""
        return [self._places[key] for key in self._page_of]

    def request(self, place: Place) -> bool:
        """Return whether a place is recorded; if not, it is added to the next write."""
        key = (place.task, place.attempt)
        if key in self._page_of:
            return True
        if key not in self._in_flight:
            self._pending.setdefault(key, place)
        return False

    def restore(self, place: Place) -> None:
        """Keep a place that was released, or request it again."""
        key = (place.task, place.attempt)
        self._retired = [row for row in self._retired if row[0] != key]
        self.request(place)

    def is_recorded(self, task: str, attempt: int) -> bool:
        """Return whether the place of an attempt is in the store."""
        return (task, attempt) in self._page_of

    def find_worker(self, task: str, attempt: int) -> str | None:
        """Return the incarnation that the place of an attempt names."""
        key = (task, attempt)
        return self._places[key].worker if key in self._page_of else None

    def retire(self, task: str, attempt: int, is_saved: Callable[[], bool]) -> None:
        """Release the place of an attempt that is over.

        Parameters
        ----------
        task : str
            Id of the task.
        attempt : int
            Number of the attempt.
        is_saved : callable
            Returns whether the effect of its end is in the store. Without it, the next
            owner needs the place to start the task only once.
        """
        key = (task, attempt)
        self._pending.pop(key, None)
        if key in self._page_of or key in self._in_flight:
            self._retired.append((key, is_saved))

    def build_write(self, now_ms: float, *, max_removals: int) -> PageWrite | None:
        """Return the next write, or the unanswered one again; None if none is needed.

        Parameters
        ----------
        now_ms : float
            Current time, in ms.
        max_removals : int
            Maximum number of pages to remove with it.
        """
        if self._write is not None:
            return self._write
        if not self._pending:
            return None
        self._drop_retired()
        keys = list(self._pending)[:_MAX_PLACES]
        sparse, copied = self._select_removals(max_removals, _MAX_PLACES - len(keys))
        places = [self._pending.pop(key) for key in keys]
        for place in places:
            self._places[place.task, place.attempt] = place
        self._write = PageWrite(
            name=(self._epoch, self._next_number),
            places=(*places, *(self._places[key] for key in copied)),
            removals=tuple(sparse),
        )
        self._in_flight = frozenset(
            (place.task, place.attempt) for place in self._write.places
        )
        self._next_number += 1
        if self._waiting_since_ms is None:
            self._waiting_since_ms = now_ms
        return self._write

    def confirm(self) -> None:
        """Record that the last write is in the store."""
        write = self._write
        if write is None:
            return
        live = set(self._in_flight)
        self._write = None
        self._in_flight = frozenset()
        self._waiting_since_ms = None
        for name in write.removals:
            page = self._pages.pop(name, None)
            for key in page.live - live if page is not None else ():
                self._page_of.pop(key, None)
                self._places.pop(key, None)
        for key in live:
            self._page_of[key] = write.name
        self._pages[write.name] = _Page(size=len(live), live=live)
        self._drop_retired()

    def rename_write(self) -> None:
        """Give the unanswered write another name, as its key was written by others."""
        if self._write is not None:
            name = (self._epoch, self._next_number)
            self._write = attrs.evolve(self._write, name=name)
            self._next_number += 1

    def is_stalled(self, now_ms: float) -> bool:
        """Return whether places can't be recorded at present."""
        since_ms = self._waiting_since_ms
        return since_ms is not None and now_ms - since_ms > _STALL_MS

    def _drop_retired(self) -> None:
        """Remove the places of attempts whose end is saved."""
        kept: list[tuple[_Key, Callable[[], bool]]] = []
        for key, is_saved in self._retired:
            if key in self._in_flight or not is_saved():
                kept.append((key, is_saved))
                continue
            self._forget_page_of(key)
            self._places.pop(key, None)
        self._retired = kept

    def _forget_page_of(self, key: _Key) -> None:
        name = self._page_of.pop(key, None)
        if name is not None and name in self._pages:
            self._pages[name].live.discard(key)

    def _select_removals(
        self, max_removals: int, max_copies: int
    ) -> tuple[list[PageName], list[_Key]]:
        """Return the pages to remove, and the places of them to copy."""
        removals = [name for name, page in self._pages.items() if not page.live]
        copied: list[_Key] = []
        for name, page in self._pages.items():
            if not page.live or len(page.live) >= _MIN_LIVE_SHARE * page.size:
                continue
            if len(copied) + len(page.live) <= max_copies:
                removals.append(name)
                copied.extend(page.live)
        removals = removals[:max_removals]
        kept = set(removals)
        return removals, [key for key in copied if self._page_of[key] in kept]
