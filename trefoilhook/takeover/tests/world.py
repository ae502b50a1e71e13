"""Small world in which owners, workers and a store follow the takeover protocol.

Heads, pages, the ledger and the tasks held back are the product's own. Whatever no
party can notice yet is left open: an order that was sent may have been executed or lost
until its worker is polled or its deadline is over; a write without an answer may have
been carried out until the next claim; time passes, an entry goes and a worker is reborn
when an owner finds it so. All histories are covered, with few states.

A lease or an order of epoch e ends 7.4 s after the claim of the epoch e + 1 at the
latest, as its owner stops by then. `World.settled` is the newest epoch that was claimed
so long ago.

A worker is given up once its leases are over and its entry is gone. Should it return
with the end of a completed run, the task may have been started again, before or after
that end is saved. Only this repetition is no fault; `World.lost` has such runs.
"""

import itertools
from collections.abc import Callable, Iterator
from typing import Any

import attrs

from trefoilhook.takeover import (
    Head,
    Member,
    Place,
    PlaceLedger,
    Predecessors,
    WorkerGroups,
    decode_head,
    decode_places,
    encode_head,
    encode_places,
)
from trefoilhook.takeover.ledger import _Page

__all__ = ["GUARDS", "JOB_ID", "TASKS", "FaultError", "Move", "Settings", "World"]

JOB_ID = "j"

TASKS = ("j.0.0", "j.1.0")
"""Two tasks; the second is due once the first is done."""

GUARDS = frozenset(
    (
        "R1 rows",
        "R1 groups",
        "R2 saved",
        "R2 over",
        "R3 key",
        "R4 claim",
        "R4 pages",
        "R5 ends",
        "R5 listed",
        "R6",
        "R7 since",
        "R7 head",
        "R8 token",
        "R8 deadline",
        "all placed",
        "all placed by epoch",
        "all placed ends",
        "all placed last",
        "late ends",
        "lease limits",
        "left",
        "own leases",
        "renewals",
        "restart fresh",
        "restart held",
        "restart listed",
        "restart place",
        "sent head",
        "unrecorded released",
        "unsaved ends",
    )
)
"""Guards that can be taken out."""

Run = tuple[str, int]
"""Task and attempt."""

Move = tuple[str, Callable[["World"], None]]
"""A line of a story, and what it changes."""


def tell(run: Run) -> str:
    """Return a run as it stands in a story."""
    return f"{run[0]} ({run[1]})"


class FaultError(Exception):
    """A property that the protocol promises does not hold."""


@attrs.frozen(kw_only=True)
class Settings:
    """What may happen in a world.

    Parameters
    ----------
    without : frozenset of str
        Guards that are taken out.
    owners : int
        Number of owners.
    is_first_old : bool
        Whether the first owner is of a build that keeps no records.
    never_ends : bool
        Whether the tasks are never completed.
    groups : int
        Number of groups.
    starts : int
        Maximum number of starts of each owner.
    fails, births, unlistings, lost_answers, late_writes : int
        Maximum number of failed ends, workers reborn at their address, entries gone,
        answers of workers lost, and writes without an answer.
    leaves : int
        Maximum number of workers that leave as planned, which an owner finds so.
    second : bool
        Whether there is a second task.
    limits : bool
        Whether an owner records that it grants no lease on a worker it does not hear.
    same_id : bool
        Whether a worker is reborn under its id, also unheard. Orders on their way name
        the id alone, so that the next incarnation may execute them.
    resigns : bool
        Whether an owner may give the shard up, and record that all its starts have
        places.
    """

    without: frozenset[str] = frozenset()
    owners: int = 3
    is_first_old: bool = False
    never_ends: bool = False
    groups: int = 2
    starts: int = 2
    fails: int = 1
    births: int = 1
    unlistings: int = 1
    lost_answers: int = 1
    late_writes: int = 1
    leaves: int = 0
    second: bool = True
    same_id: bool = False
    resigns: bool = False
    limits: bool = False


@attrs.define(kw_only=True, slots=False)
class Worker:
    """A worker: its present incarnation."""

    number: int
    life: int = 0
    token: int = 0
    is_unrenewed: bool = False
    is_listed: bool = True
    has_left: bool = False
    orders: dict[Run, int] = attrs.Factory(dict)
    runs: dict[Run, int] = attrs.Factory(dict)
    ends: dict[Run, bool] = attrs.Factory(dict)

    @property
    def name(self) -> str:
        """Incarnation."""
        return f"w{self.number}@{self.life}"

    def clone(self) -> "Worker":
        """Return a copy."""
        other = _copy(self)
        other.orders = dict(self.orders)
        other.runs = dict(self.runs)
        other.ends = dict(self.ends)
        return other

    def key(self) -> tuple[Any, ...]:
        """Return a canonical value."""
        return (
            self.life,
            self.token,
            self.is_unrenewed,
            self.is_listed,
            self.has_left,
            frozenset(self.orders.items()),
            frozenset(self.runs.items()),
            frozenset(self.ends.items()),
        )


class Saved:
    """Whether the end of a task is saved, as known to the owner in `CURRENT`."""

    def __init__(self, task: str | None) -> None:
        self.task = task

    def __call__(self) -> bool:
        owner = CURRENT[0]
        return self.task is None or (
            self.task not in owner.unsaved or "R2 saved" in owner.without
        )


CURRENT: list[Any] = [None]


@attrs.define(kw_only=True, slots=False)
class Owner:
    """An owner as its process knows the world."""

    epoch: int
    without: frozenset[str]
    count: int
    predecessors: Predecessors
    ledger: PlaceLedger
    done: set[str]
    keeps_records: bool = True
    loaded: dict[Run, Place] = attrs.Factory(dict)
    unsaved: set[str] = attrs.Factory(set)
    answered: dict[str, Member] = attrs.Factory(dict)
    over: set[str] = attrs.Factory(set)
    owed: dict[str, frozenset[str]] = attrs.Factory(dict)
    rostered: set[str] = attrs.Factory(set)
    given: dict[str, int] = attrs.Factory(dict)
    silent: set[str] = attrs.Factory(set)
    limits: frozenset[str] = frozenset()
    head: Head | None = None
    sent_head: Head | None = None
    runs: dict[Run, tuple[str, str]] = attrs.Factory(dict)
    attempts: int = 0
    group_starts: set[Run] = attrs.Factory(set)
    group_ends: set[str] = attrs.Factory(set)
    has_resigned: bool = False
    _key: Any = attrs.field(default=None, init=False)
    _next_head: Any = attrs.field(default=None, init=False)
    is_checked: bool = False

    def clone(self) -> "Owner":
        """Return a copy."""
        other = _copy(self)
        other.predecessors = _clone_predecessors(self.predecessors)
        other.ledger = _clone_ledger(self.ledger)
        other.done = set(self.done)
        other.loaded = dict(self.loaded)
        other.unsaved = set(self.unsaved)
        other.answered = dict(self.answered)
        other.over = set(self.over)
        other.owed = dict(self.owed)
        other.rostered = set(self.rostered)
        other.given = dict(self.given)
        other.silent = set(self.silent)
        other.runs = dict(self.runs)
        other.group_starts = set(self.group_starts)
        other.group_ends = set(self.group_ends)
        other._key = other._next_head = None
        return other

    def key(self) -> tuple[Any, ...]:
        """Return a canonical value; the owner must not change any more."""
        if self._key is None:
            self._key = self._build_key()
        return self._key

    def get_next_head(self) -> Head:
        """Return the same as `build_head`; the owner must not change any more."""
        if self._next_head is None:
            self._next_head = self.build_head()
        return self._next_head

    def _build_key(self) -> tuple[Any, ...]:
        return (
            self.epoch,
            self.keeps_records,
            frozenset(self.predecessors.awaited),
            frozenset(self.predecessors.expired),
            self.predecessors.unrecorded_epoch,
            frozenset(self.predecessors.unrecorded_workers),
            tuple(_key_groups(each) for each in self.predecessors.groups),
            _key_ledger(self.ledger),
            frozenset(self.loaded),
            frozenset(self.done),
            frozenset(self.unsaved),
            frozenset(self.answered),
            frozenset(self.over),
            frozenset(self.owed.items()),
            None if self.keeps_records else frozenset(self.rostered),
            frozenset(self.given.items()),
            frozenset(self.silent),
            self.limits,
            _key_head(self.head),
            _key_head(self.sent_head),
            frozenset(self.runs.items()),
            self.attempts,
            frozenset(self.group_starts),
            frozenset(self.group_ends),
            self.has_resigned,
        )

    def account(self, name: str) -> None:
        """Take in that everything started on an incarnation is known."""
        self.is_checked = False
        self.predecessors.account(name)
        self.owed.setdefault(name, frozenset(self.unsaved))
        for run, place in list(self.loaded.items()):
            if place.worker == name and run not in self.runs:
                del self.loaded[run]
                self.ledger.retire(*run, Saved(run[0]))

    def give_up(self, name: str) -> None:
        """Take in that an incarnation runs nothing any more."""
        for run, (other, _) in list(self.runs.items()):
            if other == name:
                del self.runs[run]
                self.ledger.retire(*run, Saved(run[0]))
        self.over.add(name)
        self.account(name)
        self.owed[name] = frozenset(self.unsaved)

    def hold(self, name: str, successor: str) -> None:
        """Keep starts without an answer, which the next incarnation may execute."""
        for run, (other, state) in list(self.runs.items()):
            if other == name and state == "sent":
                self.runs[run] = (successor, state)
                if self.keeps_records:
                    self.ledger.restore(Place(task=run[0], attempt=run[1], worker=name))

    def is_released(self, name: str) -> bool:
        """Return whether the next owner needs to know nothing of an incarnation."""
        if name in self.predecessors.awaited or name not in self.owed:
            return False
        if "unsaved ends" not in self.without and self.owed[name] & self.unsaved:
            return False
        if "restart place" not in self.without and any(
            worker != name and self.ledger.find_worker(*run) == name
            for run, (worker, _) in self.runs.items()
        ):
            return False
        return "R6" in self.without or all(
            self.ledger.is_recorded(*run)
            or (self.head is not None and self.head.groups.covers(JOB_ID, worker))
            for run, (worker, state) in self.runs.items()
            # The next incarnation may have executed a start for this one.
            if worker[:2] == name[:2]
            and state == "running"
            and run[1] // 10 < self.epoch
        )

    def build_head(self) -> Head:
        """Return the head that would tell the next owner what it must know."""
        groups = WorkerGroups(epoch=self.epoch, count=self.count)
        if self.head is not None:
            groups = self.head.groups
        gone = {name for name in self.over if self.is_released(name)}
        members = [member for name, member in self.answered.items() if name not in gone]
        has_all_places = self.has_resigned and self.are_starts_recorded()
        groups = attrs.evolve(groups, has_all_places=has_all_places)
        inherited = []
        for each in self.predecessors.groups:
            kept = each.retain(
                name for name in each.list_names() if not self.is_released(name)
            )
            if has_all_places and "all placed by epoch" in self.without:
                kept = attrs.evolve(kept, has_all_places=True)
            if kept.members:
                inherited.append(kept)
        unrecorded = self.predecessors.unrecorded_epoch
        waits = self.predecessors.unrecorded_workers
        if "unrecorded released" in self.without:
            waits = waits & self.predecessors.awaited
        elif all(self.is_released(name) for name in waits):
            waits = frozenset()
        if not waits or "R7 head" in self.without:
            unrecorded = None
        return Head(
            groups=groups.replace_members(members),
            inherited=tuple(inherited),
            unrecorded_epoch=unrecorded,
            lease_limits=dict.fromkeys(self.list_limited(), 0),
        )

    def list_limited(self) -> set[str]:
        """Return the incarnations on which the owner grants no lease."""
        inherited = self.limits & self.predecessors.awaited - self.answered.keys()
        return self.silent | inherited

    def may_grant(self, name: str) -> bool:
        """Return whether no head in the store may limit the leases on a worker."""
        if "lease limits" in self.without:
            return True
        heads = [each for each in (self.head, self.sent_head) if each is not None]
        if any(name in each.lease_limits for each in heads):
            return False
        return self.head is not None or name not in self.limits

    def are_starts_recorded(self) -> bool:
        """Return whether the next owner finds a place of each start that was sent."""
        if "all placed" in self.without:
            return True
        if "all placed ends" not in self.without and self.group_ends & self.unsaved:
            return False
        return all(
            self.ledger.is_recorded(*run)
            for run, (_, state) in self.runs.items()
            if state != "planned"
        )

    def may_use(self, name: str) -> bool:
        """Return whether the next owner will know that an incarnation was used."""
        if name in self.silent or not self.may_grant(name):
            return False
        head = self.build_head() if "R1 groups" in self.without else self.head
        if head is None or name not in head.groups.list_names():
            return False
        # Until it is answered, either head may be the one in the store.
        return (
            self.sent_head is None
            or "sent head" in self.without
            or name in self.sent_head.groups.list_names()
        )

    def is_in_group(self, name: str) -> bool:
        """Return whether a start of the job on an incarnation needs no place."""
        head = self.build_head() if "R1 groups" in self.without else self.head
        return head is not None and head.groups.covers(JOB_ID, name)


class World:
    """All parties, and what is on its way between them."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.without = settings.without
        self._own: set[int] = set()
        self.epoch = 1
        self.settled = 1
        self.workers = [Worker(number=0, token=1), Worker(number=1, token=1)]
        self.head: bytes | None = None
        self.pages: dict[tuple[int, int], bytes] = {}
        self.done: set[str] = set()
        self.roster: set[str] = {"w0@0", "w1@0"}
        self.lost: set[Run] = set()
        self.excused: set[str] = set()
        self.early: tuple[bytes | None, dict[tuple[int, int], bytes]] | None = None
        self.spent = {
            "fails": 0,
            "births": 0,
            "unlistings": 0,
            "lost_answers": 0,
            "late_writes": 0,
            "leaves": 0,
        }
        first = Owner(
            epoch=1,
            without=settings.without,
            count=settings.groups,
            predecessors=Predecessors(),
            ledger=PlaceLedger(epoch=1),
            done=set(),
            keeps_records=not settings.is_first_old,
        )
        first.rostered = set(self.roster)
        for worker in self.workers:
            first.answered[worker.name] = _member(worker)
            first.owed[worker.name] = frozenset()
        if first.keeps_records:
            first.head = first.build_head()
            self.head = encode_head(first.head)
        self.owners = {1: first}

    def clone(self) -> "World":
        """Return a copy, which shares owners and workers until they change."""
        other = _copy(self)
        other._own = set()
        other.workers = list(self.workers)
        other.pages = dict(self.pages)
        other.done = set(self.done)
        other.roster = set(self.roster)
        other.lost = set(self.lost)
        other.excused = set(self.excused)
        other.spent = dict(self.spent)
        other.owners = dict(self.owners)
        return other

    def change_worker(self, index: int) -> Worker:
        """Return a worker that this world shares with no other."""
        worker = self.workers[index] = self.workers[index].clone()
        return worker

    def change_owner(self, epoch: int) -> Owner:
        """Return an owner that this world shares with no other."""
        if epoch not in self._own:
            self._own.add(epoch)
            self.owners[epoch] = self.owners[epoch].clone()
        owner = CURRENT[0] = self.owners[epoch]
        return owner

    def key(self) -> tuple[Any, ...]:
        """Return a canonical value: equal for worlds with the same future."""
        return (
            self.epoch,
            self.settled,
            tuple(worker.key() for worker in self.workers),
            self.head,
            frozenset(self.pages.items()),
            frozenset(self.done),
            frozenset(self.lost),
            frozenset(self.excused),
            frozenset(self.roster) if self.settings.is_first_old else None,
            None
            if self.early is None
            else (self.early[0], frozenset(self.early[1].items())),
            tuple(self.spent.values()),
            tuple(each.key() for each in self.owners.values()),
        )

    def may_spend(self, kind: str) -> bool:
        """Return whether one more fault of a kind may happen."""
        return self.spent[kind] < getattr(self.settings, kind)

    # Moves

    def list_moves(self) -> Iterator[Move]:
        """Yield everything that may happen next."""
        if self.epoch < self.settings.owners:
            yield from self._list_claims()
        for epoch, owner in self.owners.items():
            if not owner.has_resigned or "all placed last" in self.without:
                yield from self._list_orders(epoch, owner)
            if self.settings.resigns and not owner.has_resigned and owner.head:
                yield f"owner {epoch} resigns", lambda world, e=epoch: world.resign(e)
            if epoch == self.epoch or "R3 key" in self.without:
                yield from self._list_writes(epoch, owner)
        if self.settings.same_id and self.may_spend("births"):
            for index, worker in enumerate(self.workers):
                if worker.life == 0:
                    yield (
                        f"{worker.name} is reborn, unheard",
                        lambda world, index=index: world.restart(index),
                    )

    def _list_orders(self, epoch: int, owner: Owner) -> Iterator[Move]:
        """Yield what an owner does but for its writes."""
        for index in range(len(self.workers)):
            yield from self._list_polls(epoch, index)
        yield from self._list_starts(epoch, owner)
        yield from self._list_losses(epoch, owner)
        if self.settings.limits:
            yield from self._list_limits(epoch, owner)
        if self.may_spend("leaves"):
            yield from self._list_leaves(epoch, owner)

    def _list_claims(self) -> Iterator[Move]:
        owner = self.owners[self.epoch]
        head = owner.sent_head
        page = owner.ledger._write
        for has_head, has_page in itertools.product(
            (False, True) if head is not None else (False,),
            (False, True) if page is not None else (False,),
        ):
            line = f"owner {self.epoch + 1} claims and loads"
            line += ", the unanswered head is in the store" * has_head
            line += ", the unanswered page is in the store" * has_page
            yield (
                line,
                lambda world, has_head=has_head, has_page=has_page: world.claim(
                    has_head=has_head, has_page=has_page
                ),
            )
        if "R4 claim" in self.without and self.early is None:
            yield f"owner {self.epoch + 1} loads before its claim", World.load_early

    def _list_polls(self, epoch: int, index: int) -> Iterator[Move]:
        worker = self.workers[index]
        if worker.has_left:
            return
        if worker.token > epoch and "R8 token" not in self.without:
            return
        open_runs = [*worker.runs, *worker.orders]
        for fates in itertools.product(
            *(self._list_fates(worker, epoch, run) for run in open_runs)
        ):
            chosen = dict(zip(open_runs, fates, strict=True))
            what = "".join(f", {tell(run)} {fate}" for run, fate in chosen.items())
            yield (
                f"owner {epoch} polls {worker.name}{what}",
                lambda world, chosen=chosen: world.poll(epoch, index, chosen),
            )
            if self.may_spend("lost_answers"):
                yield (
                    f"owner {epoch} polls {worker.name}{what}, the answer is lost",
                    lambda world, chosen=chosen: world.poll(
                        epoch, index, chosen, is_answered=False
                    ),
                )
        if worker.life == 0 and self.may_spend("births"):
            yield (
                f"{worker.name} is reborn, owner {epoch} polls w{index}@1",
                lambda world: world.bear(epoch, index),
            )

    def _list_fates(self, worker: Worker, epoch: int, run: Run) -> list[str]:
        fates = ["runs"]
        if not self.settings.never_ends:
            fates.append("has ended as done")
        if self.may_spend("fails"):
            fates.append("has failed")
        if run in worker.orders:
            fates.append("is late")
        return fates

    def _list_writes(self, epoch: int, owner: Owner) -> Iterator[Move]:
        if owner.unsaved and epoch == self.epoch:
            yield f"owner {epoch} saves", lambda world: world.save(epoch)
        if not owner.keeps_records:
            return
        if self.settings.resigns:
            yield from self._list_requests(epoch, owner)
        for kind, is_sent, is_due in (
            (
                "head",
                owner.sent_head is not None,
                owner.get_next_head() != owner.head,
            ),
            ("page", owner.ledger._write is not None, owner.ledger.has_pending),
        ):
            if is_sent or (is_due and epoch == self.epoch):
                verb = "repeats" if is_sent else "writes"
                yield (
                    f"owner {epoch} {verb} its {kind}",
                    lambda world, kind=kind: world.write(epoch, kind),
                )
            if not is_sent and is_due and self.may_spend("late_writes"):
                yield (
                    f"owner {epoch} writes its {kind}, no answer",
                    lambda world, kind=kind: world.write(
                        epoch, kind, is_answered=False
                    ),
                )

    def _list_requests(self, epoch: int, owner: Owner) -> Iterator[Move]:
        """Yield requests of places for starts without one."""
        ledger = owner.ledger
        for run in sorted(owner.group_starts & owner.runs.keys()):
            if run in ledger._page_of or run in ledger._pending:
                continue
            if run not in ledger._in_flight:
                yield (
                    f"owner {epoch} requests a place of {tell(run)}",
                    lambda world, run=run: world.request(epoch, run),
                )

    def _list_starts(self, epoch: int, owner: Owner) -> Iterator[Move]:
        for run, (name, state) in owner.runs.items():
            if state != "planned":
                continue
            if owner.ledger.is_recorded(*run) and owner.may_use(name):
                yield (
                    f"owner {epoch} sends {tell(run)} to {name}",
                    lambda world, run=run: world.send(epoch, run),
                )
            elif owner.ledger._write is not None:
                yield (
                    f"owner {epoch} withdraws {tell(run)} on {name}",
                    lambda world, run=run: world.withdraw(epoch, run),
                )
        task = self.find_due(owner)
        if task is None or owner.attempts >= self.settings.starts:
            return
        for name in sorted(owner.answered):
            if name in owner.over:
                continue
            if (
                owner.may_use(name) and owner.is_in_group(name)
                if owner.keeps_records
                else name in owner.rostered
            ):
                yield (
                    f"owner {epoch} starts {task} on {name}",
                    lambda world, name=name: world.start(epoch, task, name),
                )
            elif owner.may_use(name):
                yield from self._list_recorded_starts(epoch, owner, task, name)

    def _list_recorded_starts(
        self, epoch: int, owner: Owner, task: str, name: str
    ) -> Iterator[Move]:
        if "R1 rows" in self.without:
            yield (
                f"owner {epoch} starts {task} on {name} without a record",
                lambda world: world.start(epoch, task, name),
            )
        if epoch != self.epoch or owner.ledger._write is not None:
            return
        yield (
            f"owner {epoch} records and starts {task} on {name}",
            lambda world: world.start(epoch, task, name, is_recorded=True),
        )
        if self.may_spend("late_writes"):
            yield (
                f"owner {epoch} records {task} on {name}, no answer",
                lambda world: world.start(
                    epoch, task, name, is_recorded=True, is_answered=False
                ),
            )

    def _list_losses(self, epoch: int, owner: Owner) -> Iterator[Move]:
        predecessors = owner.predecessors
        for name in sorted(predecessors.awaited - predecessors.expired):
            last = predecessors.get_last_epoch(name, epoch=epoch)
            if last >= self.epoch:
                continue
            for is_done in self._list_lapses(name):
                line = f"owner {epoch} finds the leases on {name} over"
                line += ", whose run had ended as done" * is_done
                if self.settings.never_ends or "R5 listed" in self.without:
                    yield (
                        line,
                        lambda world, name=name, last=last, done=is_done: world.expire(
                            epoch, name, last + 1, is_done=done, is_gone=False
                        ),
                    )
                if not self.is_listed(name) or self.may_spend("unlistings"):
                    yield (
                        line + ", and its entry gone",
                        lambda world, name=name, last=last, done=is_done: world.expire(
                            epoch, name, last + 1, is_done=done, is_gone=True
                        ),
                    )
        if epoch != self.epoch or not self.may_spend("unlistings"):
            return
        for name in sorted(owner.answered):
            if name not in owner.over:
                yield (
                    f"owner {epoch} gives up {name}: silent, and its entry gone",
                    lambda world, name=name: world.give_up(epoch, name),
                )

    def _list_limits(self, epoch: int, owner: Owner) -> Iterator[Move]:
        """Yield silences, and limits of leases that have passed."""
        predecessors = owner.predecessors
        for name in sorted(owner.limits & predecessors.awaited - predecessors.expired):
            yield (
                f"owner {epoch} finds the limit of the leases on {name} passed",
                lambda world, name=name: world.pass_limit(epoch, name),
            )
        if epoch != self.epoch:
            return
        for name in sorted(owner.answered.keys() - owner.silent - owner.over):
            yield (
                f"owner {epoch} hears nothing of {name}",
                lambda world, name=name: world.fall_silent(epoch, name),
            )

    def _list_leaves(self, epoch: int, owner: Owner) -> Iterator[Move]:
        for name in sorted(owner.predecessors.awaited):
            if self.is_listed(name):
                yield (
                    f"owner {epoch} finds that {name} has left",
                    lambda world, name=name: world.leave(epoch, name),
                )

    def _list_lapses(self, name: str) -> tuple[bool, ...]:
        if self.settings.never_ends:
            return (False,)
        for worker in self.workers:
            if self._stands_for(worker, name) and (worker.runs or worker.orders):
                return (False, True)
        return (False,)

    def find_due(self, owner: Owner) -> str | None:
        """Return the task that an owner may start."""
        for task in TASKS[: 1 + self.settings.second]:
            if task in owner.done:
                continue
            if any(run[0] == task for run in owner.runs):
                return None
            if owner.predecessors.holds(
                task, JOB_ID, never_ends=self.settings.never_ends
            ):
                return None
            return task
        return None

    def is_listed(self, name: str) -> bool:
        """Return whether the entry of an incarnation is in the store."""
        return any(
            self._stands_for(each, name) and each.is_listed for each in self.workers
        )

    def _stands_for(self, worker: Worker, name: str) -> bool:
        """Return whether a worker may have executed orders for an incarnation."""
        is_next = self.settings.same_id and worker.name[:2] == name[:2]
        return worker.name == name or (is_next and "restart listed" not in self.without)

    # Steps of the store and of time

    def load_early(self) -> None:
        """Read the head and pages before the claim."""
        self.early = (self.head, dict(self.pages))

    def claim(self, *, has_head: bool, has_page: bool) -> None:
        """Let the next owner claim the shard and load what it needs."""
        previous = self.owners[self.epoch]
        if has_head:
            self._put_head(previous)
        if has_page:
            self._put_page(previous)
        self.epoch += 1
        head_data, pages = self.early or (self.head, self.pages)
        self.early = None
        head = decode_head(head_data) if head_data is not None else None
        names = sorted(pages)
        if "R4 pages" in self.without:
            names = names[:-1]
        rows = {name: decode_places(pages[name]) for name in names}
        since = 2 if self.settings.is_first_old else 1
        if head is None or head.groups.epoch < since:
            unrecorded = since - 1 if since > 1 else None
            if "R7 since" in self.without:
                unrecorded = None
        else:
            unrecorded = head.unrecorded_epoch
        predecessors = Predecessors(
            groups=() if head is None else (head.groups, *head.inherited),
            places=[place for places in rows.values() for place in places],
            unrecorded_epoch=unrecorded,
            unrecorded_workers=self.roster if unrecorded is not None else (),
        )
        owner = Owner(
            epoch=self.epoch,
            without=self.without,
            count=self.settings.groups,
            predecessors=predecessors,
            ledger=PlaceLedger(epoch=self.epoch),
            done=set(self.done),
        )
        if head is not None and head.groups.epoch == self.epoch - 1:
            owner.limits = frozenset(head.lease_limits)
        for name, places in rows.items():
            known = [each for each in places if predecessors.knows(each.worker)]
            owner.ledger.load(name, known)
            owner.loaded.update({(each.task, each.attempt): each for each in known})
        self.owners[self.epoch] = owner

    def settle(self, epoch: int) -> None:
        """Let 7.4 s pass after a claim."""
        if epoch <= self.settled:
            return
        self.settled = epoch
        for index in range(len(self.workers)):
            worker = self.change_worker(index)
            worker.runs = {
                run: last for run, last in worker.runs.items() if last >= epoch
            }
            if "R8 deadline" not in self.without:
                worker.orders = {
                    run: last for run, last in worker.orders.items() if last >= epoch
                }
        for each in list(self.owners):
            if each < epoch:
                del self.owners[each]

    def write(self, epoch: int, kind: str, *, is_answered: bool = True) -> None:
        """Write a head or a page, or repeat the unanswered one."""
        owner = self.change_owner(epoch)
        if kind == "head":
            owner.sent_head = owner.sent_head or owner.build_head()
            if is_answered:
                self._put_head(owner)
                owner.head, owner.sent_head = owner.sent_head, None
        else:
            owner.ledger.build_write(0.0, max_removals=29)
            if is_answered:
                self._put_page(owner)
                owner.ledger.confirm()
        self.spent["late_writes"] += not is_answered

    def _put_head(self, owner: Owner) -> None:
        assert owner.sent_head is not None
        self.head = encode_head(owner.sent_head)

    def _put_page(self, owner: Owner) -> None:
        write = owner.ledger._write
        if write is None:
            return
        self.pages[write.name] = encode_places(write.places, epoch=owner.epoch)
        for name in write.removals:
            self.pages.pop(name, None)

    def save(self, epoch: int) -> None:
        """Write the ends that an owner has taken in."""
        owner = self.change_owner(epoch)
        self.done |= owner.unsaved
        owner.unsaved = set()

    # Steps of owners and workers

    def poll(
        self,
        epoch: int,
        index: int,
        fates: dict[Run, str],
        *,
        is_answered: bool = True,
    ) -> None:
        """Poll a worker, which renews its leases and acknowledges saved ends."""
        worker, owner = self.change_worker(index), self.change_owner(epoch)
        worker.token = max(worker.token, epoch)
        self._decide(worker, fates)
        if "R8 token" not in self.without:
            worker.orders = {
                run: sent for run, sent in worker.orders.items() if sent >= worker.token
            }
        is_known = "renewals" in self.without or (
            owner.head is not None and worker.name in owner.head.groups.list_names()
        )
        given = epoch if is_known else epoch - 1
        if not owner.may_grant(worker.name):
            given = 0
        else:
            worker.is_unrenewed = False
        for run, last in worker.runs.items():
            worker.runs[run] = max(last, given)
        if not is_answered:
            if worker.name in owner.predecessors.awaited:
                owner.given[worker.name] = given
            self.spent["lost_answers"] += 1
            return
        owner.given.pop(worker.name, None)
        owner.silent.discard(worker.name)
        if epoch == self.epoch:
            self.roster.add(worker.name)
            owner.rostered.add(worker.name)
        owner.answered[worker.name] = _member(worker)
        owner.over.discard(worker.name)
        self._take_ends(owner, worker)
        self._take_runs(owner, worker)
        self._take_restart(owner, worker.name)
        owner.account(worker.name)

    def _take_restart(self, owner: Owner, name: str) -> None:
        """Take in that earlier incarnations at the address of one are over."""
        known = sorted({*owner.predecessors.awaited, *owner.answered})
        for other in known:
            if other[:2] != name[:2] or other == name:
                continue
            if self.settings.same_id:
                if owner.epoch != self.epoch and "restart fresh" not in self.without:
                    # The new process knows no token of a later owner.
                    continue
                if "restart held" not in self.without:
                    owner.hold(other, name)
            owner.give_up(other)

    def bear(self, epoch: int, index: int) -> None:
        """Start a new incarnation at the address of a worker, and poll it."""
        self.spent["births"] += 1
        self._restart(index)
        self.poll(epoch, index, {})

    def restart(self, index: int) -> None:
        """Start a new incarnation that no owner hears."""
        self.spent["births"] += 1
        self._restart(index)

    def _restart(self, index: int) -> None:
        late = dict(self.workers[index].orders) if self.settings.same_id else {}
        self.workers[index] = Worker(number=index, life=1, orders=late)

    def _decide(self, worker: Worker, fates: dict[Run, str]) -> None:
        for run, fate in fates.items():
            if fate == "is late":
                continue
            sent = worker.orders.pop(run, 0)
            last = max(worker.runs.pop(run, 0), sent)
            if fate == "runs":
                worker.runs[run] = last
            else:
                worker.ends[run] = fate == "has ended as done"
                self.spent["fails"] += fate == "has failed"

    def _take_ends(self, owner: Owner, worker: Worker) -> None:
        if "R5 ends" in self.without and worker.name not in owner.owed:
            return
        for run, is_done in list(worker.ends.items()):
            if is_done:
                self._judge_end(owner, run)
            if not is_done:
                del worker.ends[run]
            elif run[0] not in owner.done:
                owner.done.add(run[0])
                owner.unsaved.add(run[0])
            elif run[0] not in owner.unsaved:
                del worker.ends[run]
            if owner.runs.pop(run, None) is not None:
                if run in owner.group_starts and not owner.ledger.is_recorded(*run):
                    owner.group_ends.add(run[0])
                if "late ends" not in self.without and worker.name in owner.owed:
                    # Its place may not be written, so that the worker stays instead.
                    late = owner.unsaved & {run[0]}
                    owner.owed[worker.name] |= late
                owner.ledger.retire(*run, Saved(run[0]))

    def _judge_end(self, owner: Owner, run: Run) -> None:
        """Excuse starts after an end that was given up, unless another is known."""
        if owner.epoch != self.epoch:
            return
        if run not in self.lost:
            self.excused.discard(run[0])
        elif run[0] not in owner.done:
            self.excused.add(run[0])

    def _take_runs(self, owner: Owner, worker: Worker) -> None:
        for run, (name, state) in list(owner.runs.items()):
            if name == worker.name and state == "running" and run not in worker.runs:
                del owner.runs[run]
                owner.ledger.retire(*run, Saved(run[0]))
        for run in worker.runs:
            owner.runs[run] = (worker.name, "running")
            if not owner.is_in_group(worker.name) and owner.keeps_records:
                owner.ledger.request(
                    Place(task=run[0], attempt=run[1], worker=worker.name)
                )

    def expire(
        self, epoch: int, name: str, settled: int, *, is_done: bool, is_gone: bool
    ) -> None:
        """Take in that all leases on a worker are over."""
        for index, worker in enumerate(self.workers):
            if not self._stands_for(worker, name):
                continue
            worker = self.change_worker(index)
            if is_done:
                open_runs = [*worker.runs, *worker.orders]
                self._decide(worker, dict.fromkeys(open_runs, "has ended as done"))
            if is_gone and worker.is_listed:
                self._unlist(worker)
                self.spent["unlistings"] += 1
        self.settle(settled)
        owner = self.change_owner(epoch)
        if "own leases" not in self.without:
            self._pass_given(owner, name)
        owner.given.pop(name, None)
        owner.is_checked = False
        owner.predecessors.expire(name)
        if is_gone or "R5 listed" in self.without:
            owner.account(name)

    def fall_silent(self, epoch: int, name: str) -> None:
        """Let an owner hear nothing of a worker, which gets no leases from now on."""
        self.change_owner(epoch).silent.add(name)
        for index, worker in enumerate(self.workers):
            if worker.name == name:
                self.change_worker(index).is_unrenewed = True

    def pass_limit(self, epoch: int, name: str) -> None:
        """Let the limit that an earlier owner recorded pass."""
        for index, worker in enumerate(self.workers):
            if worker.name == name and worker.is_unrenewed:
                worker = self.change_worker(index)
                worker.runs, worker.orders = {}, {}
        owner = self.change_owner(epoch)
        owner.is_checked = False
        owner.predecessors.expire(name)

    def _unlist(self, worker: Worker) -> None:
        worker.is_listed = False
        self.lost |= {run for run, is_done in worker.ends.items() if is_done}

    def _pass_given(self, owner: Owner, name: str) -> None:
        """Let the deadlines pass that an owner itself gave to a worker."""
        given = owner.given.get(name, 0)
        self.settle(min(given + 1, owner.epoch))
        if given < owner.epoch:
            return
        for index, worker in enumerate(self.workers):
            if worker.name == name:
                worker = self.change_worker(index)
                worker.runs = {
                    run: last for run, last in worker.runs.items() if last != given
                }

    def leave(self, epoch: int, name: str) -> None:
        """Let a worker leave, and an owner see it."""
        self.spent["leaves"] += 1
        for index, worker in enumerate(self.workers):
            if worker.name == name:
                worker = self.change_worker(index)
                if "left" not in self.without:
                    worker.runs, worker.orders = {}, {}
                    worker.has_left = True
                self._unlist(worker)
        self.change_owner(epoch).account(name)

    def give_up(self, epoch: int, name: str) -> None:
        """Let an owner lose a worker that had answered it."""
        self.settle(epoch)
        self.spent["unlistings"] += 1
        for index, worker in enumerate(self.workers):
            if self._stands_for(worker, name):
                worker = self.change_worker(index)
                worker.runs, worker.orders = {}, {}
                self._unlist(worker)
        self.change_owner(epoch).give_up(name)

    def start(
        self,
        epoch: int,
        task: str,
        name: str,
        *,
        is_recorded: bool = False,
        is_answered: bool = True,
    ) -> None:
        """Start a task, after its place is recorded if it needs one."""
        owner = self.change_owner(epoch)
        owner.attempts += 1
        run = (task, 10 * epoch + owner.attempts)
        owner.runs[run] = (name, "planned")
        if is_recorded:
            owner.ledger.request(Place(task=task, attempt=run[1], worker=name))
            self.write(epoch, "page", is_answered=is_answered)
        else:
            owner.group_starts.add(run)
        if is_answered:
            self.send(epoch, run)

    def send(self, epoch: int, run: Run) -> None:
        """Send the order of a planned start; it may be executed at once."""
        owner = self.change_owner(epoch)
        name = owner.runs[run][0]
        owner.runs[run] = (name, "sent")
        if "R2 over" in self.without:
            owner.ledger.retire(*run, Saved(None))
        for index, worker in enumerate(self.workers):
            if (
                worker.name == name
                and not worker.has_left
                and (worker.token <= epoch or "R8 token" in self.without)
            ):
                self._check_start(run[0])
                self.change_worker(index).orders[run] = epoch

    def _check_start(self, task: str) -> None:
        if task in self.done and task not in self.excused:
            raise FaultError(f"{task} is started, and is saved as done")
        for worker in self.workers:
            if any(run[0] == task for run in (*worker.runs, *worker.orders)):
                raise FaultError(f"{task} may run twice: here and on {worker.name}")
            if worker.is_listed and any(
                run[0] == task and is_done for run, is_done in worker.ends.items()
            ):
                raise FaultError(
                    f"{task} is started, and {worker.name} has its end as done"
                )

    def request(self, epoch: int, run: Run) -> None:
        """Request a place of a start that was sent without one."""
        owner = self.change_owner(epoch)
        name = owner.runs[run][0]
        owner.ledger.request(Place(task=run[0], attempt=run[1], worker=name))

    def resign(self, epoch: int) -> None:
        """Let an owner send nothing more; it may still write."""
        self.change_owner(epoch).has_resigned = True

    def withdraw(self, epoch: int, run: Run) -> None:
        """Give up a start whose place can't be recorded."""
        owner = self.change_owner(epoch)
        del owner.runs[run]
        owner.ledger.retire(*run, Saved(None))


def _copy(value: Any) -> Any:
    other = object.__new__(type(value))
    other.__dict__.update(value.__dict__)
    return other


def _member(worker: Worker) -> Member:
    return Member(name=worker.name, address=f"w{worker.number}")


def _key_groups(groups: WorkerGroups) -> tuple[Any, ...]:
    return (
        groups.epoch,
        groups.has_all_places,
        frozenset((slot, member.name) for slot, member in groups.members.items()),
    )


def _key_head(head: Head | None) -> Any:
    if head is None:
        return None
    return (
        _key_groups(head.groups),
        tuple(_key_groups(each) for each in head.inherited),
        head.unrecorded_epoch,
        frozenset(head.lease_limits),
    )


def _key_ledger(ledger: PlaceLedger) -> tuple[Any, ...]:
    return (
        frozenset((run, name) for run, name in ledger._page_of.items()),
        frozenset(ledger._pending),
        frozenset(ledger._in_flight),
        tuple((run, saved.task) for run, saved in ledger._retired),
        frozenset(
            (name, page.size, frozenset(page.live))
            for name, page in ledger._pages.items()
        ),
        ledger._next_number,
        ledger._write,
    )


def _clone_ledger(ledger: PlaceLedger) -> PlaceLedger:
    other = _copy(ledger)
    other._pages = {
        name: _Page(size=page.size, live=set(page.live))
        for name, page in ledger._pages.items()
    }
    other._page_of = dict(ledger._page_of)
    other._places = dict(ledger._places)
    other._pending = dict(ledger._pending)
    other._retired = list(ledger._retired)
    return other


def _clone_predecessors(predecessors: Predecessors) -> Predecessors:
    other = _copy(predecessors)
    other.awaited = set(predecessors.awaited)
    other.expired = set(predecessors.expired)
    other._blocked = {}
    return other
