"""Placement schemes to compare: the decisions, an oracle, baselines and ablations."""

import attrs
import numpy as np

from bench.placement_driver import Scheme
from bench.placement_world import CLASSES, LOAD_EXPONENT, LOAD_GAIN
from trefoilhook.placement import (
    LATENCY_FIRST,
    THROUGHPUT_FIRST,
    Reaction,
    ReactionKind,
    Scores,
    TaskKind,
    TaskPhase,
    decide_reactions,
)
from trefoilhook.placement.interference import InterferenceModel
from trefoilhook.placement.scoring import compute_consolidation_cost

__all__ = ["PRESETS", "build_ablations", "build_schemes"]

PRESETS = {"carrowmore": LATENCY_FIRST, "agency": THROUGHPUT_FIRST}
EVICTION_COOLDOWN_MS = 30_000.0
REDUCED_SERVICE_FILL = 0.6


def _build_scores(cost):
    return Scores(
        cost=cost, excess=np.zeros(len(cost)), admissible=np.ones(len(cost), dtype=bool)
    )


def _build_random(world, driver):
    def score(state, task, class_index, rows, policy):
        return _build_scores(-1.0 - driver.rng.random(len(rows)))

    return score


def _compute_remaining_cores(state, task, rows):
    return state.table.room[rows, 0] - task.resources.cores


def _build_best_fit(world, driver):
    def score(state, task, class_index, rows, policy):
        return _build_scores(_compute_remaining_cores(state, task, rows) - 1000.0)

    return score


def _build_separate_workers(world, driver):
    """Place services on the first workers of each rack, all other tasks elsewhere."""
    user = world.user
    needed = int(np.ceil(user.services * 4.0 * 1.1 / user.cores))
    order = sorted(range(user.workers), key=lambda n: (n % user.rack_size, n))
    service_workers = {f"w{number}" for number in order[:needed]}

    def score(state, task, class_index, rows, policy):
        names = [state.table.ids[row] for row in rows]
        is_service_worker = np.array([name in service_workers for name in names])
        admissible = is_service_worker == (task.kind is TaskKind.SERVICE)
        cost = (
            _compute_remaining_cores(state, task, rows) - 1000.0 + 2000.0 * ~admissible
        )
        return attrs.evolve(_build_scores(cost), admissible=admissible)

    return score


def _react_to_failing_workers(state, now_ms, policy):
    """Keep only the quarantine and release of workers that fail all tasks."""
    return tuple(
        reaction
        for reaction in decide_reactions(state, now_ms, policy)
        if reaction.kind in (ReactionKind.QUARANTINE, ReactionKind.RELEASE)
    )


def _react_by_evicting(state, now_ms, policy):
    """Evict the largest batch task of each worker with a service over its target."""
    reactions = list(_react_to_failing_workers(state, now_ms, policy))
    for worker in state.workers.values():
        late = state.table.late[worker.slot] > 0.0
        if not late or now_ms - worker.acted_at_ms < EVICTION_COOLDOWN_MS:
            continue
        victims = [
            task
            for task in worker.residents.values()
            if task.shape.kind is TaskKind.BATCH
            and task.phase is TaskPhase.RUNNING
            and not task.shape.urgent
        ]
        if victims:
            largest = max(victims, key=lambda task: task.expected_cores)
            reactions.append(
                Reaction(
                    kind=ReactionKind.CHECKPOINT_EVICT,
                    worker_id=worker.shape.worker_id,
                    task_id=largest.shape.task_id,
                )
            )
    return tuple(reactions)


def _set_true_usage(world, state):
    """Replace the learned usage of tasks with the true usage."""
    for task_id, task in state.tasks.items():
        slot = world.tasks.get(task_id)
        if slot is None:
            continue
        peak_demand = max(
            world.compute_demand(), world.compute_demand(world.now_s + 300.0)
        )
        wanted = world.true[slot] * (peak_demand if world.service[slot] else 1.0)
        capped = wanted if world.service[slot] else min(wanted, world.declared[slot])
        task.expected_cores = float(capped)


def _build_oracle(world, driver):
    """Score by the true slowdowns, task sizes and interference multipliers."""
    cache = _WorkloadCache()

    def score(state, task, class_index, rows, policy):
        arrival = driver.arrivals[task.task_id]
        workloads = _collect_workloads(world, driver, state, rows, cache)
        own_cores = min(arrival.true_cores, task.resources.cores)
        kind = CLASSES.index(task.task_class)
        contribution = own_cores * arrival.noise / world.user.cores
        return _score_with_ground_truth(
            world, state, task, class_index, rows, kind, contribution, workloads, policy
        )

    return score


@attrs.define(kw_only=True)
class _WorkloadCache:
    """True workloads of workers, cached within a time step by worker and tasks."""

    step_s: int = -1
    rows: dict = attrs.field(factory=dict)


def _collect_workloads(world, driver, state, rows, cache):
    if cache.step_s != int(world.now_s):
        cache.step_s = int(world.now_s)
        cache.rows.clear()
    parts = []
    for row in rows:
        worker = state.workers[state.table.ids[row]]
        key = (worker.shape.worker_id, tuple(worker.residents))
        if key not in cache.rows:
            cache.rows[key] = _compute_workload(world, driver, worker)
        parts.append(cache.rows[key])
    pressure = np.array([part[0] for part in parts])
    services = np.array([part[1] for part in parts])
    return pressure, services, np.array([part[2] for part in parts])


def _compute_workload(world, driver, worker):
    pressure, services = np.zeros(len(CLASSES)), np.zeros(len(CLASSES))
    peak_demand = max(world.compute_demand(), world.compute_demand(world.now_s + 300.0))
    intensities = world.compute_intensities()
    load = 0.0
    for task_id, held in worker.residents.items():
        arrival = driver.arrivals[task_id]
        kind = CLASSES.index(held.shape.task_class)
        used = min(arrival.true_cores, held.shape.resources.cores) * held.speed
        if held.shape.kind is TaskKind.SERVICE:
            used = arrival.true_cores * peak_demand
            services[kind] += 1.0
        share = used / world.user.cores
        load += share
        pressure[kind] += share * arrival.noise * intensities[kind]
    return pressure, services, load


def _compute_excess(world, pressure, load):
    constant = world.slowdown_matrix * world.constant_share
    load_dependent = world.slowdown_matrix - constant
    gain = (LOAD_GAIN * np.minimum(load, 1.0) ** LOAD_EXPONENT)[:, None]
    return pressure @ constant.T + gain * (pressure @ load_dependent.T)


def _score_with_ground_truth(
    world, state, task, class_index, rows, kind, contribution, workloads, policy
):
    pressure, services, load = workloads
    before = _compute_excess(world, pressure, load) / 0.1
    increased = pressure.copy()
    increased[:, kind] += contribution
    after = _compute_excess(world, increased, load + contribution) / 0.1
    tail = (services * (after**2 - before**2)).sum(axis=1)
    if task.kind is TaskKind.SERVICE:
        cost = policy.tail_weight * (tail + after[:, kind] ** 2) + 0.1 * load
        return _build_scores(
            cost + compute_consolidation_cost(state, task, class_index, rows, policy)
        )
    worst = np.where(services > 0.0, after, 0.0).max(axis=1)
    slowdown = 0.1 * (
        after[:, kind] + ((after - before) * pressure).sum(axis=1) / contribution
    )
    cost = policy.tail_weight * tail - policy.batch_weight * contribution * (
        1.0 - slowdown
    )
    within = worst <= policy.admit_ratio
    return attrs.evolve(
        _build_scores(cost), excess=worst, admissible=within | (tail <= 1e-3)
    )


def build_schemes(user):
    """Build the decisions, the oracle and the baselines with a user's policy preset."""
    policy = PRESETS[user]
    reduced_fill = {}
    if user == "carrowmore":
        name = f"decisions, service_fill {REDUCED_SERVICE_FILL:g}"
        spread = attrs.evolve(policy, service_fill=REDUCED_SERVICE_FILL)
        reduced_fill[name] = Scheme(name=name, policy=spread)
    return {
        "decisions": Scheme(name="decisions", policy=policy),
        **reduced_fill,
        "oracle": Scheme(
            name="oracle",
            policy=policy,
            build_scorer=_build_oracle,
            after_step=_set_true_usage,
            immediate_reports=True,
        ),
        "random fit": Scheme(
            name="random fit",
            policy=policy,
            build_scorer=_build_random,
            react=_react_to_failing_workers,
        ),
        "best fit": Scheme(
            name="best fit",
            policy=policy,
            build_scorer=_build_best_fit,
            react=_react_to_failing_workers,
        ),
        "separate workers": Scheme(
            name="separate workers",
            policy=policy,
            build_scorer=_build_separate_workers,
            react=_react_to_failing_workers,
        ),
        "reaction only": Scheme(
            name="reaction only",
            policy=policy,
            build_scorer=_build_best_fit,
            react=_react_by_evicting,
        ),
    }


def _order_by_arrival(state, waiting, now_ms, policy):
    """Order urgent tasks first, then services and watchers, then by queueing time."""
    return tuple(
        sorted(
            waiting,
            key=lambda entry: (
                not entry.shape.urgent,
                entry.shape.kind is TaskKind.BATCH,
                entry.queued_at_ms,
            ),
        )
    )


def _reset_model(world, state):
    state.model = InterferenceModel()


def _reset_residual(world, state):
    state.table.residual[:] = 0.0


def _disable_forgetting(state):
    state.model.decay_time_ms = np.inf


def build_ablations(user):
    """Build the decisions with one mechanism at a time disabled."""
    policy = PRESETS[user]
    base = Scheme(name="decisions", policy=policy)

    def without(mechanism, **changes):
        return attrs.evolve(base, name=f"without {mechanism}", **changes)

    def with_settings(mechanism, **settings):
        return without(mechanism, policy=attrs.evolve(policy, **settings))

    schemes = [
        without("learned slowdowns", after_step=_reset_model),
        without("residual of the worker", after_step=_reset_residual),
        without("forgetting", prepare=_disable_forgetting),
        with_settings("risk margin", risk=0.0),
        with_settings("admission limit", admit_ratio=np.inf),
        with_settings("gathering of services", takeover_weight=0.0, service_fill=1.0),
        with_settings("grouping of service classes", mixing_weight=0.0),
        without("reactions", react=_react_to_failing_workers),
        without("fair share and run times", order=_order_by_arrival),
    ]
    return {scheme.name: scheme for scheme in schemes}
