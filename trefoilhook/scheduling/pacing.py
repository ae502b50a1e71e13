"""Slowing of fillers that disturb service tasks.

How much a filler disturbs a service task depends on the pair of images and on the
task's own load, which swings within seconds. The slack that a worker's looks show
decides: where it gets short, the fillers to which the learned weights give most of the
cost are slowed at once, and let go again as far as the slack allows.
"""

import attrs

from trefoilhook.scheduling.contention import limit_pace
from trefoilhook.scheduling.core import Scheduler
from trefoilhook.scheduling.crowds import FULL_PACE, find_step
from trefoilhook.scheduling.fleet import Run, RunPhase, Worker
from trefoilhook.scheduling.messages import PaceOrder
from trefoilhook.scheduling.models import Step
from trefoilhook.scheduling.slack import measure_slack

__all__ = ["plan_paces"]

_SHORT_SLACK = 1.05
"""Slack under which fillers are slowed. At 1 the limit is reached; between two looks a
task's own load can cost 0.3."""

_AIM_SLACK = 1.15
"""Slack that slowing aims at, and that letting go leaves."""

_SLOWED_PACE = 10
"""Least pace of a filler that is slowed, in percent: not 0, so that its weight is still
seen."""

_LEAST_RAISE = 10
"""A pace isn't raised by less than this, in percent: each order is a call."""

_AHEAD_MS = 600.0
"""Paces are chosen for the slack so much later, in ms: an order takes effect after
0.1 s, and the next look comes half a second later."""

_UNLISTED_MS = 600.0
"""A load is listed as the mean of half a second, in ms: after a start or a change of
pace it is taken from what was ordered instead."""

_PAUSE_MS = 450.0
"""Between two changes of a pace: the tail is a figure of the last half second."""

_REPEAT_MS = 3000.0
"""A pace is ordered again so often: an order without an answer may be carried out late,
after a newer one."""

_HALT_MS = 2200.0
"""How long before the users' bound on overload all fillers beside a service task are
halted, in ms: a look sees it 0.5 s late, acts at the next, and the listed tail takes
1.2 s to fall."""

_HALT_HEAVY_MS = 3000.0
"""The same for the fillers that are thought to disturb it, in ms: with a bound of 4 s
it leaves two looks in which slowing some of them shows."""

_LEAST_PATIENCE_MS = 500.0
"""However short the bound, nothing is halted for a single look."""


@attrs.frozen(kw_only=True)
class _Service:
    """A service task at work: its image, and its slack if nothing is done."""

    image: str
    slack: float


@attrs.frozen(kw_only=True)
class _Base:
    """The slack of a service task: predicted without fillers, and as listed."""

    image: str
    base: float
    listed: float


@attrs.define(kw_only=True)
class _Filler:
    """A filler, and what it could use at full speed as a share of the worker."""

    run: Run
    step: Step
    used: float
    full: float


@attrs.define(kw_only=True)
class _Mix:
    """What runs on a worker: fillers, service tasks, and whose limit is exceeded."""

    fillers: list[_Filler] = attrs.Factory(list)
    bases: list[_Base] = attrs.Factory(list)
    over: set[str] = attrs.Factory(set)


def _sort_runs(scheduler: Scheduler, worker: Worker, now_ms: float) -> _Mix:
    mix = _Mix()
    cores = max(1, worker.report.capacity.cpu)
    for run in worker.runs.values():
        step = find_step(scheduler.jobs, run)
        if step is None or run.phase is not RunPhase.RUNNING:
            continue
        if step.filler:
            full = step.demand.cpu / cores
            used = run.load / cores
            if now_ms - max(run.started_ms, run.paced_ms) < _UNLISTED_MS:
                used = full * run.pace / FULL_PACE
            mix.fillers.append(_Filler(run=run, step=step, used=used, full=full))
        elif step.latency_limit_ms and run.percent >= FULL_PACE:
            if run.track is not None:
                base = run.track.predict_base(now_ms + _AHEAD_MS)
                listed = measure_slack(run.load, step.latency_limit_ms)
                mix.bases.append(_Base(image=step.image, base=base, listed=listed))
            if run.load > step.latency_limit_ms:
                mix.over.add(step.image)
    return mix


def _predict_services(scheduler: Scheduler, mix: _Mix) -> list[_Service]:
    """Predict the slack of the service tasks for when an order takes effect."""
    services: list[_Service] = []
    shares: dict[str, float] = {}
    for filler in mix.fillers:
        image = filler.step.image
        shares[image] = shares.get(image, 0.0) + filler.used
    for known in mix.bases:
        slack = known.base - scheduler.interference.find_cost(known.image, shares)
        if known.listed < 1.0:
            # What is over its limit now may be so for a filler that was thought light.
            slack = min(slack, known.listed)
        services.append(_Service(image=known.image, slack=slack))
    return services


def plan_paces(scheduler: Scheduler, worker: Worker, now_ms: float) -> list[PaceOrder]:
    """Tell which fillers of a worker are to work at another pace."""
    mix = _sort_runs(scheduler, worker, now_ms)
    over_ms = _measure_over(worker, bool(mix.over), now_ms)
    services = _predict_services(scheduler, mix)
    slowed = _choose_slowed(scheduler, mix.fillers, services)
    room = [service.slack for service in services]
    limit = limit_pace(worker, scheduler.jobs) if mix.bases else FULL_PACE
    orders: list[PaceOrder] = []
    for filler in mix.fillers:
        run = filler.run
        if _is_halted(scheduler, filler, mix.over, over_ms):
            pace = 0
        elif id(run) in slowed:
            pace = slowed[id(run)]
        else:
            pace = _raise_pace(scheduler, filler, services, room)
        pace = min(pace, limit)
        if not _is_order_due(run, pace, now_ms, at_once=limit < run.pace):
            continue
        if run.pace >= FULL_PACE:
            run.slowed_ms = now_ms
        run.set_pace(pace, now_ms)
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


def _is_order_due(run: Run, pace: int, now_ms: float, *, at_once: bool) -> bool:
    """Tell whether an order on a pace is to be sent now.

    ``at_once`` tells that it makes way for a task that has just been placed.
    """
    is_first = run.is_throttled and run.paced_ms <= 0.0
    if is_first or (at_once and pace < run.pace):
        return True
    since = now_ms - run.paced_ms
    if pace == run.pace:
        return run.paced_ms > 0.0 and since > _REPEAT_MS
    return since >= _PAUSE_MS


def _measure_over(worker: Worker, is_over: bool, now_ms: float) -> float:
    """Return how long service tasks of a worker have been over their limits, in ms."""
    if not is_over:
        worker.over_since_ms = None
        return 0.0
    if worker.over_since_ms is None:
        worker.over_since_ms = now_ms
    return now_ms - worker.over_since_ms


def _is_halted(
    scheduler: Scheduler, filler: _Filler, over: set[str], over_ms: float
) -> bool:
    """Tell whether a filler must halt, as a service task was over its limit too long.

    Its users count it as harmed after a few seconds on end. First those halt that the
    weights make responsible; they may be wrong, so a little later all do, until the
    listed tail itself is under the limit.
    """
    bound_ms = scheduler.limits.overload_ms
    if over_ms > max(_LEAST_PATIENCE_MS, bound_ms - _HALT_MS):
        return True
    if over_ms <= max(_LEAST_PATIENCE_MS, bound_ms - _HALT_HEAVY_MS):
        return False
    return any(
        scheduler.interference.is_heavy(image, filler.step.image) for image in over
    )


def _choose_slowed(
    scheduler: Scheduler, fillers: list[_Filler], services: list[_Service]
) -> dict[int, int]:
    """Choose fillers to slow, and their paces, to give every service task its slack.

    The heaviest come first, each by no more than what is missing; with a limit already
    exceeded the weights have been too low, and they are slowed as far as may be. Light
    ones are left alone: with seven of them slowed to a tenth a service task gained a
    third of what one heavy one costs, and batch jobs of two days were worth 0.38 and
    0.42 in place of 0.66 and 0.81.
    """
    paces: dict[int, int] = {}
    for service in services:
        if service.slack >= _SHORT_SLACK:
            continue
        missing = _AIM_SLACK - service.slack
        costs = [
            (scheduler.interference.weigh(service.image, f.step.image) * f.used, f.run)
            for f in fillers
            if scheduler.interference.is_heavy(service.image, f.step.image)
        ]
        for cost, run in sorted(costs, key=lambda pair: pair[0], reverse=True):
            if missing <= 0 or cost <= 0:
                break
            kept = max(0.0, 1.0 - missing / cost) if service.slack > 1.0 else 0.0
            pace = max(_SLOWED_PACE, int(run.pace * kept))
            paces[id(run)] = min(pace, paces.get(id(run), run.pace))
            missing -= cost
    return paces


def _raise_pace(
    scheduler: Scheduler,
    filler: _Filler,
    services: list[_Service],
    room: list[float],
) -> int:
    """Choose the highest pace that leaves every service task its slack.

    A throttled task isn't let go further than it was started.
    ``room`` is the slack of each service task, less what other fillers of the worker
    have just been given of it.
    """
    run = filler.run
    most = run.first_pace - run.pace
    if most <= 0:
        return run.pace
    raised = most / FULL_PACE
    weights = [
        scheduler.interference.weigh(service.image, filler.step.image) * filler.full
        for service in services
    ]
    for service, weight, slack in zip(services, weights, room, strict=True):
        if scheduler.interference.is_heavy(service.image, filler.step.image):
            raised = min(raised, (slack - _AIM_SLACK) / weight)
    if raised * FULL_PACE < min(_LEAST_RAISE, most):
        return run.pace
    for number, weight in enumerate(weights):
        room[number] -= raised * weight
    return run.pace + int(raised * FULL_PACE)
