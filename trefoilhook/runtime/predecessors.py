"""Reads what previous owners of a shard recorded about their starts."""

from collections.abc import Callable, Collection, Iterable, Mapping

import attrs

from trefoilhook.exceptions import DecodeError
from trefoilhook.platform import Item
from trefoilhook.runtime import keys
from trefoilhook.scheduling import get_worker_id
from trefoilhook.takeover import (
    Head,
    Place,
    PlaceLedger,
    Predecessors,
    decode_head,
    decode_places,
)

__all__ = ["Inheritance", "read_inheritance"]

_Page = tuple[int, int]


@attrs.frozen(kw_only=True)
class Inheritance:
    """What previous owners left.

    Parameters
    ----------
    predecessors : Predecessors
        Their groups, places and unrecorded starts.
    ledger : PlaceLedger
        Ledger of the current owner, with their places.
    head_revision : int
        Revision of the stored groups; 0 if there are none.
    elapsed_ms : mapping of int to int
        Time for which previous epochs are known to have ended, in ms.
    lease_limits : mapping of str to int
        By incarnation, time within which all leases expire, in ms.
    damaged_keys : tuple of str
        Keys to remove once all workers of previous owners are accounted for.
    """

    predecessors: Predecessors
    ledger: PlaceLedger
    head_revision: int
    elapsed_ms: Mapping[int, int] = attrs.Factory(dict)
    lease_limits: Mapping[str, int] = attrs.Factory(dict)
    damaged_keys: tuple[str, ...] = ()


def read_inheritance(
    items: Iterable[Item],
    *,
    roster: Iterable[str],
    epoch: int,
    recorded_since: int,
    reject: Callable[[Item, DecodeError], None],
    is_past: Callable[[int], bool] = lambda revision: False,
) -> Inheritance:
    """Read the groups and places of previous owners.

    Anything unreadable means that their starts are unknown, never that there are none.

    Parameters
    ----------
    items : iterable of Item
        All keys with recorded starts.
    roster : iterable of str
        Incarnations on which previous owners may have started tasks.
    epoch : int
        Epoch of the current owner.
    recorded_since : int
        First epoch since which every owner has recorded its starts.
    reject : callable
        Called with each unreadable item.
    is_past : callable, optional
        Returns whether no start that was sent before a revision can still be executed.
    """
    head: Head | None = None
    head_revision = 0
    unrecorded: int | None = recorded_since - 1 if recorded_since > 1 else None
    pages: dict[_Page, list[Place]] = {}
    revisions: dict[_Page, int] = {}
    damaged: list[str] = []
    for item in items:
        try:
            if item.key == keys.groups_key(keys.SHARD):
                head_revision = item.revision
                head = decode_head(item.value)
                if head.groups.epoch >= recorded_since:
                    unrecorded = head.unrecorded_epoch
            else:
                page = _read_page(item.key)
                pages[page] = decode_places(item.value)
                revisions[page] = item.revision
        except DecodeError as error:
            reject(item, error)
            damaged.append(item.key)
    if damaged:
        unrecorded = epoch - 1
    predecessors = Predecessors(
        groups=(head.groups, *head.inherited) if head is not None else (),
        places=[place for places in pages.values() for place in places],
        superseded=_find_superseded(
            [
                (place, revisions[page])
                for page, places in pages.items()
                for place in places
            ],
            is_past,
        ),
        unrecorded_epoch=unrecorded,
        unrecorded_workers=roster if unrecorded is not None else (),
    )
    ledger = PlaceLedger(epoch=epoch)
    for page, places in sorted(pages.items()):
        ledger.load(page, [each for each in places if predecessors.knows(each.worker)])
    return Inheritance(
        predecessors=predecessors,
        ledger=ledger,
        head_revision=head_revision,
        elapsed_ms=head.elapsed_ms if head is not None else {},
        # An owner that has left no groups may have been of a build that grants leases
        # beyond the limits of its predecessor.
        lease_limits=(
            head.lease_limits
            if head is not None and head.groups.epoch == epoch - 1
            else {}
        ),
        # The groups are overwritten.
        damaged_keys=tuple(
            key for key in damaged if key != keys.groups_key(keys.SHARD)
        ),
    )


def _find_superseded(
    rows: Collection[tuple[Place, int]], is_past: Callable[[int], bool]
) -> set[tuple[str, int]]:
    """Return the attempts that were over before a later one was started.

    Parameters
    ----------
    rows : collection of (Place, int)
        Places, each with the revision at which its page was written.
    is_past : callable
        Returns whether no start that was sent before a revision can still be executed.
    """
    last: dict[str, tuple[int, int]] = {}
    for place, revision in rows:
        # The earliest page with an attempt was written before its start.
        known = last.get(place.task, (0, 0))
        last[place.task] = max(known, (place.attempt, -revision))
    return {
        (place.task, place.attempt)
        for place, _ in rows
        if place.attempt < last[place.task][0]
        and (_has_unique_id(place.worker) or is_past(-last[place.task][1]))
    }


def _has_unique_id(name: str) -> bool:
    """Return whether no other process is started under the id of a worker.

    The next process under the same id may execute a late start for an earlier one.
    """
    return get_worker_id(name) == name


def _read_page(key: str) -> _Page:
    """Return the epoch and the number of a page."""
    epoch, _, number = key.removeprefix(keys.page_prefix(keys.SHARD)).partition("/")
    if not (epoch.isdecimal() and number.isdecimal()):
        raise DecodeError("not the key of a page")
    return int(epoch), int(number)
