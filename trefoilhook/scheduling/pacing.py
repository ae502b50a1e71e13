"""Throttling of fillers that disturb service tasks.

How much a filler disturbs a service task depends on the pair of images and on the
task's own load, which varies within seconds. When the measured slack on a worker gets
short, the fillers to which the learned weights attribute most of the cost are throttled
immediately; they are sped up again as far as the slack permits.
"""

import attrs

from trefoilhook.scheduling.colocation import FULL_PACE, find_step
from trefoilhook.scheduling.contention import compute_max_pace
from trefoilhook.scheduling.core import Scheduler
from trefoilhook.scheduling.fleet import Run, RunPhase, Worker
from trefoilhook.scheduling.messages import PaceOrder
from trefoilhook.scheduling.models import Step
from trefoilhook.scheduling.slack import measure_slack

__all__ = ["plan_paces"]

_SLOWDOWN_SLACK = 1.05
"""Slack below which fillers are throttled. The limit is reached at 1, and the task's
own load can reduce the slack by 0.3 between two polls."""

_TARGET_SLACK = 1.15
"""Slack that throttling restores and that speeding up preserves."""

_MIN_PACE = 10
"""Minimum pace of a throttled filler, in percent. With 0 its weight could not be
measured."""

_MIN_PACE_INCREASE = 10
"""Smaller increases of a pace are not ordered (in percent): each order is a request."""

_PREDICTION_HORIZON_MS = 600.0
"""Paces are chosen for the slack predicted this far ahead: an order takes effect after
100 ms, and the next poll follows 500 ms later."""

_LOAD_LAG_MS = 600.0
"""The reported load is a mean over 500 ms: for this long after a start or a change of
pace, the load is derived from the order instead."""

_MIN_CHANGE_INTERVAL_MS = 450.0
"""Minimum time between two changes of a pace, as the tail is measured over 500 ms."""

_REPEAT_INTERVAL_MS = 3000.0
"""Interval at which a pace is ordered again: an order without an answer may be executed
late, after a newer one."""

_HALT_ALL_LEAD_MS = 2200.0
"""All fillers beside a service task are halted this long before the permitted duration
of an overload ends: a poll detects the overload after 0.5 s, the next one reacts, and
the reported tail takes 1.2 s to fall."""

_HALT_HEAVY_LEAD_MS = 3000.0
"""The same for fillers that are considered heavy. With a permitted overload of 4 s it
leaves two polls in which throttling can take effect."""

_MIN_HALT_DELAY_MS = 500.0
"""Fillers are never halted sooner than this, so that a single poll is not enough."""


@attrs.frozen(kw_only=True)
class _PredictedService:
    """Image and predicted slack of a service task if no pace is changed."""

    image: str
    slack: float


@attrs.frozen(kw_only=True)
class _ServiceState:
    """A service task: its predicted slack without fillers, and its reported slack."""

    image: str
    base: float
    listed: float


@attrs.define(kw_only=True)
class _Filler:
    """A filler, and its current and full-speed use as fractions of the worker."""

    run: Run
    step: Step
    used_share: float
    full_share: float


@attrs.define(kw_only=True)
class _WorkerTasks:
    """Fillers and service tasks of a worker, and service images over their limit."""

    fillers: list[_Filler] = attrs.Factory(list)
    bases: list[_ServiceState] = attrs.Factory(list)
    images_over_limit: set[str] = attrs.Factory(set)


def _collect_tasks(scheduler: Scheduler, worker: Worker, now_ms: float) -> _WorkerTasks:
    tasks = _WorkerTasks()
    cores = max(1, worker.report.capacity.cpu)
    for run in worker.runs.values():
        step = find_step(scheduler.jobs, run)
        if step is None or run.phase is not RunPhase.RUNNING:
            continue
        if step.filler:
            full_share = _estimate_full_share(run, step, cores)
            used_share = run.load / cores
            if now_ms - max(run.started_ms, run.paced_ms) < _LOAD_LAG_MS:
                used_share = full_share * run.pace / FULL_PACE
            tasks.fillers.append(
                _Filler(
                    run=run, step=step, used_share=used_share, full_share=full_share
                )
            )
        elif step.latency_limit_ms and run.percent >= FULL_PACE:
            if run.track is not None:
                base = run.track.predict_base(now_ms + _PREDICTION_HORIZON_MS)
                listed = measure_slack(run.load, step.latency_limit_ms)
                tasks.bases.append(
                    _ServiceState(image=step.image, base=base, listed=listed)
                )
            if run.load > step.latency_limit_ms:
                tasks.images_over_limit.add(step.image)
    return tasks


def _estimate_full_share(run: Run, step: Step, cores: int) -> float:
    """Return the fraction of a worker that a filler uses at full speed.

    The request is optional. Without one, the reported use is scaled to full speed; 0 if
    none is reported.
    """
    if step.demand.cpu or run.pace <= 0:
        return step.demand.cpu / cores
    return run.load / cores * FULL_PACE / run.pace


def _predict_services(
    scheduler: Scheduler, tasks: _WorkerTasks
) -> list[_PredictedService]:
    """Predict the slack of the service tasks at the time when an order takes effect."""
    services: list[_PredictedService] = []
    shares: dict[str, float] = {}
    for filler in tasks.fillers:
        image = filler.step.image
        shares[image] = shares.get(image, 0.0) + filler.used_share
    for state in tasks.bases:
        slack = state.base - scheduler.interference.predict_cost(state.image, shares)
        if state.listed < 1.0:
            # A task that exceeds its limit may do so because a weight is
            # underestimated.
            slack = min(slack, state.listed)
        services.append(_PredictedService(image=state.image, slack=slack))
    return services


def plan_paces(scheduler: Scheduler, worker: Worker, now_ms: float) -> list[PaceOrder]:
    """Return the orders that change the pace of fillers on a worker."""
    tasks = _collect_tasks(scheduler, worker, now_ms)
    over_limit_ms = _update_over_limit(worker, bool(tasks.images_over_limit), now_ms)
    services = _predict_services(scheduler, tasks)
    throttled_paces = _choose_throttled(scheduler, tasks.fillers, services)
    spare_slacks = [service.slack for service in services]
    limit = compute_max_pace(worker, scheduler.jobs) if tasks.bases else FULL_PACE
    paces: list[tuple[Run, int]] = []
    for filler in tasks.fillers:
        run = filler.run
        if _must_halt(scheduler, filler, tasks.images_over_limit, over_limit_ms):
            pace = 0
        elif id(run) in throttled_paces:
            pace = throttled_paces[id(run)]
        else:
            pace = _raise_pace(scheduler, filler, services, spare_slacks)
        pace = min(pace, limit)
        if _is_order_due(run, pace, now_ms, immediate=limit < run.pace):
            paces.append((run, pace))
    # Applied only after all paces are known, so that an error leaves no run with a pace
    # that was never ordered.
    orders: list[PaceOrder] = []
    for run, pace in paces:
        if run.pace >= FULL_PACE:
            run.throttled_since_ms = now_ms
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


def _is_order_due(run: Run, pace: int, now_ms: float, *, immediate: bool) -> bool:
    """Return whether a pace order is to be sent now.

    ``immediate`` is set if it makes room for a task that has just been placed.
    """
    is_first = run.is_throttled and run.paced_ms <= 0.0
    if is_first or (immediate and pace < run.pace):
        return True
    since = now_ms - run.paced_ms
    if pace == run.pace:
        return run.paced_ms > 0.0 and since > _REPEAT_INTERVAL_MS
    return since >= _MIN_CHANGE_INTERVAL_MS


def _update_over_limit(worker: Worker, is_over: bool, now_ms: float) -> float:
    """Update and return for how long tasks of a worker have been over a limit.

    In ms; 0 if none is over its limit.
    """
    if not is_over:
        worker.over_limit_since_ms = None
        return 0.0
    if worker.over_limit_since_ms is None:
        worker.over_limit_since_ms = now_ms
    return now_ms - worker.over_limit_since_ms


def _must_halt(
    scheduler: Scheduler,
    filler: _Filler,
    images_over_limit: set[str],
    over_limit_ms: float,
) -> bool:
    """Return whether a filler must be halted because of a long overload.

    Users count a service task as harmed after a few seconds of overload. Heavy fillers
    are halted first. As the weights may be wrong, all fillers are halted shortly
    afterwards, until the reported tail is below the limit.
    """
    bound_ms = scheduler.limits.overload_ms
    if over_limit_ms > max(_MIN_HALT_DELAY_MS, bound_ms - _HALT_ALL_LEAD_MS):
        return True
    if over_limit_ms <= max(_MIN_HALT_DELAY_MS, bound_ms - _HALT_HEAVY_LEAD_MS):
        return False
    return any(
        scheduler.interference.is_heavy(image, filler.step.image)
        for image in images_over_limit
    )


def _choose_throttled(
    scheduler: Scheduler, fillers: list[_Filler], services: list[_PredictedService]
) -> dict[int, int]:
    """Choose fillers to throttle, and their paces, to restore missing slack.

    The heaviest fillers come first, each throttled by no more than what is missing. If
    a limit is already exceeded, the weights are too low, and the fillers are throttled
    to the minimum. Light fillers are not throttled: throttling seven of them to a tenth
    recovers a third of the slack that one heavy filler costs, and reduced the score of
    batch jobs on two days from 0.66 and 0.81 to 0.38 and 0.42.
    """
    paces: dict[int, int] = {}
    for service in services:
        if service.slack >= _SLOWDOWN_SLACK:
            continue
        missing_slack = _TARGET_SLACK - service.slack
        costs = [
            (
                scheduler.interference.get_weight(service.image, f.step.image)
                * f.used_share,
                f.run,
            )
            for f in fillers
            if scheduler.interference.is_heavy(service.image, f.step.image)
        ]
        for cost, run in sorted(costs, key=lambda pair: pair[0], reverse=True):
            if missing_slack <= 0 or cost <= 0:
                break
            remaining_share = (
                max(0.0, 1.0 - missing_slack / cost) if service.slack > 1.0 else 0.0
            )
            pace = max(_MIN_PACE, int(run.pace * remaining_share))
            paces[id(run)] = min(pace, paces.get(id(run), run.pace))
            missing_slack -= cost
    return paces


def _raise_pace(
    scheduler: Scheduler,
    filler: _Filler,
    services: list[_PredictedService],
    spare_slacks: list[float],
) -> int:
    """Choose the highest pace that leaves every service task its target slack.

    A filler never exceeds its initial pace. ``spare_slacks`` is the slack of each
    service task, less what has already been assigned to other fillers of the worker.
    """
    run = filler.run
    max_increase = run.initial_pace - run.pace
    if max_increase <= 0:
        return run.pace
    increase = max_increase / FULL_PACE
    weights = [
        scheduler.interference.get_weight(service.image, filler.step.image)
        * filler.full_share
        for service in services
    ]
    for service, weight, slack in zip(services, weights, spare_slacks, strict=True):
        if weight > 0.0 and scheduler.interference.is_heavy(
            service.image, filler.step.image
        ):
            increase = min(increase, (slack - _TARGET_SLACK) / weight)
    if increase * FULL_PACE < min(_MIN_PACE_INCREASE, max_increase):
        return run.pace
    for number, weight in enumerate(weights):
        spare_slacks[number] -= increase * weight
    return run.pace + int(increase * FULL_PACE)
