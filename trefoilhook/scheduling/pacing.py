"""Slowing of fillers that disturb service tasks.

How much a filler disturbs a service task depends on the pair of images, and changes
within seconds. The tail latency that the worker lists decides: near its limit, the
fillers to which the learned weights give the blame are slowed at once, well under it
they are let go again step by step.
"""

from trefoilhook.scheduling.core import Scheduler
from trefoilhook.scheduling.crowds import find_step
from trefoilhook.scheduling.fleet import Run, RunPhase, Worker
from trefoilhook.scheduling.interference import measure_strain
from trefoilhook.scheduling.messages import PaceOrder
from trefoilhook.scheduling.models import Step

__all__ = ["plan_paces"]

_HIGH = 0.8
"""Strain from which fillers are slowed: the listed tail is a rough figure of the last
half second, and 1 is the limit itself."""

_AIM = 0.5
"""Strain that slowing aims at, by the learned weights."""

_LOW = 0.4
"""Strain under which fillers are let go again; the gap keeps the pace from swinging
with each look."""

_SLOWED_PACE = 10
"""Pace of a filler that is slowed, in percent: not 0, so that its weight is still seen.
The heaviest are slowed far, and not all a little: they are moved then, the others
aren't hurt."""

_RAISE = 45
"""Added to the pace at each look that is well under, in percent."""

_PAUSE_MS = 450.0
"""Between two changes of a pace: the tail is a figure of the last half second."""

_REPEAT_MS = 3000.0
"""A pace is ordered again so often: an order without an answer may be carried out late,
after a newer one."""

_PATIENCE_MS = 1200.0
"""How long a service task may be over its limit before all fillers beside it are
halted, in ms: the users' bound is 4 s, a look sees it 0.5 s late, acts at the next, and
the listed tail takes 1.4 s to fall from twenty times the limit."""

_FULL = 100


def plan_paces(scheduler: Scheduler, worker: Worker, now_ms: float) -> list[PaceOrder]:
    """Tell which fillers of a worker are to work at another pace."""
    victims: list[tuple[Step, float]] = []
    fillers: list[tuple[Run, Step]] = []
    is_over = False
    for run in worker.runs.values():
        step = find_step(scheduler.jobs, run)
        if step is None or run.phase is not RunPhase.RUNNING:
            continue
        if step.filler:
            fillers.append((run, step))
        elif step.latency_limit_ms and run.percent >= _FULL:
            strain = measure_strain(run.present_load, step.latency_limit_ms)
            victims.append((step, strain))
            is_over = is_over or run.load > step.latency_limit_ms
    harmful = _is_harmful(worker, is_over, now_ms)
    if not fillers:
        return []
    strain = max((strain for _, strain in victims), default=0.0)
    slowed = _choose_slowed(scheduler, worker, fillers, victims)
    orders: list[PaceOrder] = []
    for run, _ in fillers:
        if harmful:
            pace = _halt(run, now_ms)
        else:
            pace = _choose_pace(run, strain, id(run) in slowed, now_ms)
        if pace is None:
            continue
        if run.pace >= _FULL:
            run.slowed_ms = now_ms
        run.pace = pace
        run.paced_ms = now_ms
        orders.append(
            PaceOrder(
                worker_id=worker.report.worker_id,
                task=run.task,
                attempt=run.attempt,
                percent=pace,
                token=scheduler.epoch,
            )
        )
    return orders


def _is_harmful(worker: Worker, is_over: bool, now_ms: float) -> bool:
    """Tell whether a service task has been over its limit for too long.

    Its users count it as harmed after a few seconds on end. The weights may be wrong
    about who is to blame, so all fillers beside it are halted then, until the listed
    tail itself is under the limit.
    """
    if not is_over:
        worker.over_since_ms = None
        return False
    if worker.over_since_ms is None:
        worker.over_since_ms = now_ms
    return now_ms - worker.over_since_ms > _PATIENCE_MS


def _choose_slowed(
    scheduler: Scheduler,
    worker: Worker,
    fillers: list[tuple[Run, Step]],
    victims: list[tuple[Step, float]],
) -> set[int]:
    """Choose the fewest fillers that, slowed, bring every strain down."""
    cores = max(1, worker.report.capacity.cpu)
    slowed: set[int] = set()
    for victim, strain in victims:
        if strain <= _HIGH:
            continue
        excess = strain - _AIM
        blames = [
            (scheduler.interference.weigh(victim.image, step.image) * run.load, run)
            for run, step in fillers
        ]
        for blame, run in sorted(blames, key=lambda pair: pair[0], reverse=True):
            if excess <= 0 or blame <= 0:
                break
            excess -= blame / cores
            slowed.add(id(run))
    return slowed


def _halt(run: Run, now_ms: float) -> int | None:
    if run.pace == 0 and now_ms - run.paced_ms < _REPEAT_MS:
        return None
    return 0


def _choose_pace(run: Run, strain: float, slow: bool, now_ms: float) -> int | None:
    since = now_ms - run.paced_ms
    if since < _PAUSE_MS:
        return None
    if slow and run.pace > _SLOWED_PACE:
        return _SLOWED_PACE
    if strain < _LOW and run.pace < _FULL:
        return min(_FULL, run.pace + _RAISE)
    if run.paced_ms and since > _REPEAT_MS:
        return run.pace
    return None
