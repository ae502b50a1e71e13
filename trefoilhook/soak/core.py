"""Soak runs: traffic and faults, followed by a check of the recorded runs."""

import random
import signal
from pathlib import Path

import attrs
import trio

from trefoilhook.clock import Clock, build_boottime_clock
from trefoilhook.soak.checks import check_runs
from trefoilhook.soak.clients import Clients
from trefoilhook.soak.faults import FaultInjector, InjectedFault
from trefoilhook.soak.fleet import WORKER_CPU, Fleet
from trefoilhook.soak.history import write_history
from trefoilhook.soak.submissions import SubmissionOutcome
from trefoilhook.soak.takeovers import check_takeover

__all__ = ["SoakReport", "SoakSettings", "run_soak"]

_WARM_UP_S = 3.0
"""Time with traffic before the first fault, in s."""

_SETTLE_TIMEOUT_S = 40.0
"""Time limit for jobs to end after the last fault, in s. The longest task lease and
takeover take about 8 s; queued jobs run after that."""

_CRASHING_SETTLE_TIMEOUT_S = 60.0
"""Additional time limit for jobs that crash their workers, in s: five crashes, each
confirmed within about 8 s, and the back-off between attempts."""

_FINAL_STATES = ("completed", "cancelled", "failed")

_POLL_INTERVAL_S = 0.1
_STATUS_OK = 200


@attrs.frozen(kw_only=True)
class SoakSettings:
    """Configuration of a soak run.

    Parameters
    ----------
    seed : int
        Seed of jobs and faults; it does not determine the timing of the processes.
    duration_s : float
        Duration of fault injection, in s.
    instances, workers : int
        Number of instances and of workers.
    task_ms : float
        Run time of a task, in ms.
    folder : Path
        Folder for settings, logs and the run history.
    """

    seed: int
    duration_s: float
    folder: Path
    instances: int = 4
    workers: int = 6
    task_ms: float = 300.0


@attrs.frozen(kw_only=True)
class SoakReport:
    """Result of a soak run.

    Parameters
    ----------
    violations : tuple of str
        Descriptions of the violated invariants.
    faults : tuple of InjectedFault
        Injected faults, in order.
    submitted, accepted, runs : int
        Numbers of submitted jobs, accepted jobs and task runs.
    """

    violations: tuple[str, ...]
    faults: tuple[InjectedFault, ...]
    submitted: int
    accepted: int
    runs: int


async def run_soak(settings: SoakSettings) -> SoakReport:
    """Run a soak and return its report."""
    clock = build_boottime_clock()
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
            rng=random.Random(settings.seed),
            crash_rng=random.Random(settings.seed + 2),
        )
        injector = FaultInjector(
            fleet=fleet,
            clock=clock,
            rng=random.Random(settings.seed + 1),
            resize_rng=random.Random(settings.seed + 3),
            evacuation_rng=random.Random(settings.seed + 4),
            restart_rng=random.Random(settings.seed + 5),
        )
        try:
            await fleet.start(instances=settings.instances, workers=settings.workers)
            await _run_workload(settings, fleet, clients, injector, clock)
            if not clients.submission_log.violations:
                # The time limit of this check applies only without other faults.
                await check_takeover(fleet, clients, random.Random(settings.seed + 6))
        finally:
            with trio.CancelScope(shield=True):
                await fleet.close()
                await clients.close()
            nursery.cancel_scope.cancel()
    write_history(settings.folder, clients.submission_log, fleet.runs)
    return _build_report(fleet, clients, injector)


async def _run_workload(
    settings: SoakSettings,
    fleet: Fleet,
    clients: Clients,
    injector: FaultInjector,
    clock: Clock,
) -> None:
    duration_s = _WARM_UP_S + settings.duration_s
    until_ms = clock.monotonic_ms() + duration_s * 1000.0
    async with trio.open_nursery() as nursery:
        nursery.start_soon(clients.run, nursery, until_ms)
        with trio.CancelScope() as polling_scope:
            async with trio.open_nursery() as pollers:
                pollers.start_soon(_poll_job_states, clients)
                await trio.sleep(_WARM_UP_S)
                pollers.start_soon(_poll_exits, fleet)
                await injector.run(settings.duration_s)
                polling_scope.cancel()
    for instance in fleet.instances:
        instance.send_signal(signal.SIGCONT)
    settled = False
    with trio.move_on_after(_SETTLE_TIMEOUT_S):
        await _wait_for_final_states(clients, crashing=False)
        await _wait_for_newest_queue(fleet, clients)
        settled = True
    if not settled:
        clients.submission_log.violations.append("not all settled after the last fault")
    with trio.move_on_after(_CRASHING_SETTLE_TIMEOUT_S):
        await _wait_for_final_states(clients, crashing=True)
        return
    clients.submission_log.violations.append(
        "a crashing job isn't ended after the last fault"
    )


async def _poll_exits(fleet: Fleet) -> None:
    """Check for unexpected process exits until cancelled."""
    while True:
        fleet.record_unexpected_exits()
        await trio.sleep(_POLL_INTERVAL_S)


async def _poll_job_states(clients: Clients) -> None:
    """Query the state of each accepted job in turn until cancelled."""
    while True:
        for submission in list(clients.submission_log.submissions.values()):
            if submission.outcome is SubmissionOutcome.ACCEPTED:
                await clients.poll_state(submission)
            await trio.sleep(_POLL_INTERVAL_S)
        await trio.sleep(_POLL_INTERVAL_S)


async def _wait_for_final_states(clients: Clients, *, crashing: bool) -> None:
    """Wait until each accepted job is reported in a final state.

    Parameters
    ----------
    clients : Clients
        Clients that query the state.
    crashing : bool
        Whether to wait for the jobs that crash their workers, or for the others.
    """
    for submission in clients.submission_log.submissions.values():
        if submission.outcome is not SubmissionOutcome.ACCEPTED:
            continue
        if (submission.crash_ms is not None) is not crashing:
            continue
        while await clients.poll_state(submission) not in _FINAL_STATES:
            await trio.sleep(_POLL_INTERVAL_S)


async def _wait_for_newest_queue(fleet: Fleet, clients: Clients) -> None:
    """Wait until every instance serves the most recently added queue."""
    for instance in fleet.instances:
        while (
            await clients.get_queue_status(instance, fleet.queue_prefixes[-1])
            != _STATUS_OK
        ):
            await trio.sleep(_POLL_INTERVAL_S)


def _build_report(
    fleet: Fleet, clients: Clients, injector: FaultInjector
) -> SoakReport:
    submissions = clients.submission_log.submissions.values()
    violations = check_runs(
        clients.submission_log,
        fleet.runs,
        cpu=WORKER_CPU,
        capacity_history=fleet.capacity_history,
        failure_domains=fleet.failure_domains,
        evacuations=fleet.evacuations,
    )
    return SoakReport(
        violations=(
            *fleet.unexpected_exits,
            *fleet.list_contained_failures(),
            *violations,
        ),
        faults=tuple(injector.injected),
        submitted=len(submissions),
        accepted=sum(s.outcome is SubmissionOutcome.ACCEPTED for s in submissions),
        runs=sum(len(records) for records in fleet.runs.values()),
    )
