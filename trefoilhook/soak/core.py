"""One soak: the program under faults, and what must hold meanwhile and after it."""

import random
import signal
from pathlib import Path

import attrs
import trio

from trefoilhook.clock import Clock, build_boot_clock
from trefoilhook.soak.checks import check_runs
from trefoilhook.soak.clients import Clients
from trefoilhook.soak.faults import Faults, InjectedFault
from trefoilhook.soak.fleet import WORKER_CPU, Fleet
from trefoilhook.soak.history import write_history
from trefoilhook.soak.ledger import SubmissionOutcome

__all__ = ["SoakReport", "SoakSettings", "run_soak"]

_START_S = 3.0
"""Traffic before the first fault, in s."""

_CALM_S = 40.0
"""Longest time after the last fault until every job has ended, in s: the longest task
lease and takeover take some 8 s, and what waited is then run."""

_CRASHING_CALM_S = 60.0
"""Longest time after that until jobs that crash their workers have ended, in s: five
crashes, each proved within some 8 s, and the pauses between them."""

_ENDED = ("completed", "cancelled", "failed")

_ASK_S = 0.1
_OK = 200


@attrs.frozen(kw_only=True)
class SoakSettings:
    """What is soaked.

    Parameters
    ----------
    seed : int
        Of jobs and faults; the processes' own timing isn't drawn from it.
    duration_s : float
        Time with faults, in s.
    instances, workers : int
        How many of them.
    task_ms : float
        Time of a task, in ms.
    folder : Path
        Where settings, logs and the history of runs go.
    """

    seed: int
    duration_s: float
    folder: Path
    instances: int = 4
    workers: int = 6
    task_ms: float = 300.0


@attrs.frozen(kw_only=True)
class SoakReport:
    """What a soak found.

    Parameters
    ----------
    violations : tuple of str
        What was broken, in words.
    faults : tuple of InjectedFault
        What was injected, in order.
    submitted, accepted, runs : int
        How much went through.
    """

    violations: tuple[str, ...]
    faults: tuple[InjectedFault, ...]
    submitted: int
    accepted: int
    runs: int


async def run_soak(settings: SoakSettings) -> SoakReport:
    """Run a soak and return what it found."""
    clock = build_boot_clock()
    async with trio.open_nursery() as nursery:
        fleet = Fleet(
            nursery=nursery,
            clock=clock,
            folder=settings.folder,
            task_ms=settings.task_ms,
        )
        clients = Clients(
            fleet=fleet,
            clock=clock,
            choices=random.Random(settings.seed),
            culprits=random.Random(settings.seed + 2),
        )
        faults = Faults(
            fleet=fleet,
            clock=clock,
            choices=random.Random(settings.seed + 1),
            sizes=random.Random(settings.seed + 3),
            evacuation_choices=random.Random(settings.seed + 4),
        )
        try:
            await fleet.start(instances=settings.instances, workers=settings.workers)
            await _play(settings, fleet, clients, faults, clock)
        finally:
            with trio.CancelScope(shield=True):
                await fleet.close()
                await clients.close()
            nursery.cancel_scope.cancel()
    write_history(settings.folder, clients.ledger, fleet.runs)
    return _report(fleet, clients, faults)


async def _play(
    settings: SoakSettings,
    fleet: Fleet,
    clients: Clients,
    faults: Faults,
    clock: Clock,
) -> None:
    duration_s = _START_S + settings.duration_s
    until_ms = clock.monotonic_ms() + duration_s * 1000.0
    async with trio.open_nursery() as nursery:
        nursery.start_soon(clients.run, nursery, until_ms)
        with trio.CancelScope() as asking:
            async with trio.open_nursery() as askers:
                askers.start_soon(_ask_on, clients)
                await trio.sleep(_START_S)
                askers.start_soon(_watch_exits, fleet)
                await faults.run(settings.duration_s)
                asking.cancel()
    for instance in fleet.instances:
        instance.send(signal.SIGCONT)
    settled = False
    with trio.move_on_after(_CALM_S):
        await _wait_for_ends(clients, crashing=False)
        await _check_queues(fleet, clients)
        settled = True
    if not settled:
        clients.ledger.violations.append("not all settled after the last fault")
    with trio.move_on_after(_CRASHING_CALM_S):
        await _wait_for_ends(clients, crashing=True)
        return
    clients.ledger.violations.append("a crashing job isn't ended after the last fault")


async def _watch_exits(fleet: Fleet) -> None:
    """Look for processes that end by themselves, for good."""
    while True:
        fleet.note_exits()
        await trio.sleep(_ASK_S)


async def _ask_on(clients: Clients) -> None:
    """Ask for states, one job after the other, for good."""
    while True:
        for submission in list(clients.ledger.submissions.values()):
            if submission.outcome is SubmissionOutcome.ACCEPTED:
                await clients.ask(submission)
            await trio.sleep(_ASK_S)
        await trio.sleep(_ASK_S)


async def _wait_for_ends(clients: Clients, *, crashing: bool) -> None:
    """Wait until each accepted job is told to have ended.

    Parameters
    ----------
    clients : Clients
        Who ask.
    crashing : bool
        Whether the jobs are meant that crash their workers, or the others.
    """
    for submission in clients.ledger.submissions.values():
        if submission.outcome is not SubmissionOutcome.ACCEPTED:
            continue
        if (submission.crash_ms is not None) is not crashing:
            continue
        while await clients.ask(submission) not in _ENDED:
            await trio.sleep(_ASK_S)


async def _check_queues(fleet: Fleet, clients: Clients) -> None:
    """Wait until every instance knows the newest queue."""
    for instance in fleet.instances:
        while await clients.count(instance, fleet.prefixes[-1]) != _OK:
            await trio.sleep(_ASK_S)


def _report(fleet: Fleet, clients: Clients, faults: Faults) -> SoakReport:
    submissions = clients.ledger.submissions.values()
    broken = check_runs(
        clients.ledger,
        fleet.runs,
        cpu=WORKER_CPU,
        sizes=fleet.sizes,
        failure_domains=fleet.failure_domains,
        evacuations=fleet.evacuations,
    )
    return SoakReport(
        violations=(*fleet.exits, *broken),
        faults=tuple(faults.injected),
        submitted=len(submissions),
        accepted=sum(s.outcome is SubmissionOutcome.ACCEPTED for s in submissions),
        runs=sum(len(records) for records in fleet.runs.values()),
    )
