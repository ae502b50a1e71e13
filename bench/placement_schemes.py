"""What the decisions are measured against: baselines, an oracle, and ablations."""

import attrs
import numpy as np

from bench.placement_driver import Scheme
from bench.placement_world import CLASSES, LOAD_GAIN, LOAD_POWER
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
from trefoilhook.placement.scoring import cost_taking_over

__all__ = ["PRESETS", "build_ablations", "build_schemes"]

PRESETS = {"carrowmore": LATENCY_FIRST, "agency": THROUGHPUT_FIRST}
EVICT_REST_MS = 30_000.0
THINNER_FILL = 0.6


def _score_all(cost):
    return Scores(
        cost=cost, excess=np.zeros(len(cost)), admissible=np.ones(len(cost), dtype=bool)
    )


def _build_random(world, driver):
    def score(state, task, class_index, rows, policy):
        return _score_all(-1.0 - driver.rng.random(len(rows)))

    return score


def _left(state, task, rows):
    return state.table.room[rows, 0] - task.resources.cores


def _build_best_fit(world, driver):
    def score(state, task, class_index, rows, policy):
        return _score_all(_left(state, task, rows) - 1000.0)

    return score


def _build_separate(world, driver):
    """Services on the first workers of each rack, everything else on the others."""
    user = world.user
    needed = int(np.ceil(user.services * 4.0 * 1.1 / user.cores))
    order = sorted(range(user.workers), key=lambda n: (n % user.rack_size, n))
    kept = {f"w{number}" for number in order[:needed]}

    def score(state, task, class_index, rows, policy):
        names = [state.table.ids[row] for row in rows]
        inside = np.array([name in kept for name in names])
        right = inside == (task.kind is TaskKind.SERVICE)
        cost = _left(state, task, rows) - 1000.0 + 2000.0 * ~right
        return attrs.evolve(_score_all(cost), admissible=right)

    return score


def _react_nothing(state, now_ms, policy):
    """Only tell workers that fail everything, as the ladder does."""
    return tuple(
        reaction
        for reaction in decide_reactions(state, now_ms, policy)
        if reaction.kind in (ReactionKind.QUARANTINE, ReactionKind.RELEASE)
    )


def _react_by_evicting(state, now_ms, policy):
    """Evict the largest batch task wherever a report is past the target."""
    reactions = list(_react_nothing(state, now_ms, policy))
    for worker in state.workers.values():
        late = state.table.late[worker.slot] > 0.0
        if not late or now_ms - worker.acted_at_ms < EVICT_REST_MS:
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


def _watch_truth(world, state):
    """Write the truth over what was learned: usage and the matrix, as of now."""
    for task_id, task in state.tasks.items():
        slot = world.tasks.get(task_id)
        if slot is None:
            continue
        ahead = max(world.demand(), world.demand(world.now_s + 300.0))
        wanted = world.true[slot] * (ahead if world.service[slot] else 1.0)
        capped = wanted if world.service[slot] else min(wanted, world.declared[slot])
        task.expected_cores = float(capped)


def _build_oracle(world, driver):
    """Score by the hidden matrix, true sizes and true loudness."""
    cache = _TruthCache()

    def score(state, task, class_index, rows, policy):
        arrival = driver.arrivals[task.task_id]
        weights = _truth(world, driver, state, rows, cache)
        own_cores = min(arrival.true_cores, task.resources.cores)
        kind = CLASSES.index(task.task_class)
        push = own_cores * arrival.noise / world.user.cores
        return _score_truth(
            world, state, task, class_index, rows, kind, push, weights, policy
        )

    return score


@attrs.define(kw_only=True)
class _TruthCache:
    """What workers truly carry, kept for a step of time while nothing changes."""

    step_s: int = -1
    rows: dict = attrs.field(factory=dict)


def _truth(world, driver, state, rows, cache):
    if cache.step_s != int(world.now_s):
        cache.step_s = int(world.now_s)
        cache.rows.clear()
    parts = []
    for row in rows:
        worker = state.workers[state.table.ids[row]]
        key = (worker.shape.worker_id, tuple(worker.residents))
        if key not in cache.rows:
            cache.rows[key] = _truth_of(world, driver, worker)
        parts.append(cache.rows[key])
    pressure = np.array([part[0] for part in parts])
    services = np.array([part[1] for part in parts])
    return pressure, services, np.array([part[2] for part in parts])


def _truth_of(world, driver, worker):
    pressure, services = np.zeros(len(CLASSES)), np.zeros(len(CLASSES))
    ahead = max(world.demand(), world.demand(world.now_s + 300.0))
    loud = world.aggression()
    load = 0.0
    for task_id, held in worker.residents.items():
        arrival = driver.arrivals[task_id]
        kind = CLASSES.index(held.shape.task_class)
        used = min(arrival.true_cores, held.shape.resources.cores) * held.speed
        if held.shape.kind is TaskKind.SERVICE:
            used = arrival.true_cores * ahead
            services[kind] += 1.0
        share = used / world.user.cores
        load += share
        pressure[kind] += share * arrival.noise * loud[kind]
    return pressure, services, load


def _excess_truth(world, pressure, load):
    flat = world.matrix * world.flat
    rising = world.matrix - flat
    gain = (LOAD_GAIN * np.minimum(load, 1.0) ** LOAD_POWER)[:, None]
    return pressure @ flat.T + gain * (pressure @ rising.T)


def _score_truth(world, state, task, class_index, rows, kind, push, weights, policy):
    pressure, services, load = weights
    before = _excess_truth(world, pressure, load) / 0.1
    grown = pressure.copy()
    grown[:, kind] += push
    after = _excess_truth(world, grown, load + push) / 0.1
    tail = (services * (after**2 - before**2)).sum(axis=1)
    if task.kind is TaskKind.SERVICE:
        cost = policy.tail_weight * (tail + after[:, kind] ** 2) + 0.1 * load
        return _score_all(
            cost + cost_taking_over(state, task, class_index, rows, policy)
        )
    worst = np.where(services > 0.0, after, 0.0).max(axis=1)
    hurt = 0.1 * (after[:, kind] + ((after - before) * pressure).sum(axis=1) / push)
    cost = policy.tail_weight * tail - policy.batch_weight * push * (1.0 - hurt)
    within = worst <= policy.admit_ratio
    return attrs.evolve(
        _score_all(cost), excess=worst, admissible=within | (tail <= 1e-3)
    )


def build_schemes(user):
    """Build the decisions, the oracle and the baselines for a user's weights."""
    policy = PRESETS[user]
    thinner = {}
    if user == "carrowmore":
        name = f"decisions, service_fill {THINNER_FILL:g}"
        spread = attrs.evolve(policy, service_fill=THINNER_FILL)
        thinner[name] = Scheme(name=name, policy=spread)
    return {
        "decisions": Scheme(name="decisions", policy=policy),
        **thinner,
        "oracle": Scheme(
            name="oracle",
            policy=policy,
            build_scorer=_build_oracle,
            watch=_watch_truth,
            instant=True,
        ),
        "random fit": Scheme(
            name="random fit",
            policy=policy,
            build_scorer=_build_random,
            react=_react_nothing,
        ),
        "best fit": Scheme(
            name="best fit",
            policy=policy,
            build_scorer=_build_best_fit,
            react=_react_nothing,
        ),
        "separate workers": Scheme(
            name="separate workers",
            policy=policy,
            build_scorer=_build_separate,
            react=_react_nothing,
        ),
        "reaction only": Scheme(
            name="reaction only",
            policy=policy,
            build_scorer=_build_best_fit,
            react=_react_by_evicting,
        ),
    }


def _order_by_arrival(state, waiting, now_ms, policy):
    """Urgent first, then services, then first come first served."""
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


def _forget_model(world, state):
    state.model = InterferenceModel()


def _forget_residual(world, state):
    state.table.residual[:] = 0.0


def _never_forget(state):
    state.model.forget_ms = np.inf


def build_ablations(user):
    """Build the decisions with one mechanism at a time switched off."""
    policy = PRESETS[user]
    whole = Scheme(name="decisions", policy=policy)

    def without(what, **changes):
        return attrs.evolve(whole, name=f"without {what}", **changes)

    def reset(what, **settings):
        return without(what, policy=attrs.evolve(policy, **settings))

    schemes = [
        without("learned slowdowns", watch=_forget_model),
        without("residual of the worker", watch=_forget_residual),
        without("forgetting", prepare=_never_forget),
        reset("risk margin", risk=0.0),
        reset("admission limit", admit_ratio=np.inf),
        reset("gathering of services", takeover_weight=0.0, service_fill=1.0),
        reset("grouping of service classes", mixing_weight=0.0),
        without("reactions", react=_react_nothing),
        without("fair share and run times", order=_order_by_arrival),
    ]
    return {scheme.name: scheme for scheme in schemes}
