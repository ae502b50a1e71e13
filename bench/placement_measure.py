"""What one run showed, worked out from its driver's counts."""

import attrs
import numpy as np

from bench.placement_world import (
    BATCH_CLASSES,
    CLASSES,
    LOAD_GAIN,
    LOAD_POWER,
    SERVICE_CLASSES,
)

__all__ = ["TAIL_BINS", "Outcome", "sum_up"]

CALIBRATED_LOAD = 0.7
TAIL_BINS = np.concatenate([np.arange(0.0, 1.0, 0.002), np.arange(1.0, 6.0, 0.05)])


@attrs.frozen(kw_only=True)
class Outcome:
    """What one run showed."""

    scheme: str
    user: str
    seed: int
    tail_p99: float
    tail_p50: float
    throughput: float
    evictions_per_1000: float
    lost_core_s_per_1000: float
    capacity_exceeded: int
    urgent_p99_s: float
    urgent_worst_s: float
    recovery_s: float
    finished: int
    refused: int
    throttles: int
    late_share: float
    preempted_per_1000: float
    calibration: float


def _quantile(histogram, fraction):
    edges = np.concatenate([[0.0], TAIL_BINS])
    total = histogram.cumsum()
    return 1.0 + float(edges[np.searchsorted(total, fraction * total[-1])])


def _measure_calibration(driver):
    """Return the correlation of learned and hidden slowdowns of services by batch."""
    world, state = driver.world, driver.state
    gain = LOAD_GAIN * CALIBRATED_LOAD**LOAD_POWER
    hidden = world.matrix * (world.flat + gain * (1.0 - world.flat))
    learned = state.model.constant + CALIBRATED_LOAD * state.model.loaded
    pairs = [
        (hidden[CLASSES.index(victim), CLASSES.index(other)], learned[row, column])
        for victim in SERVICE_CLASSES
        for other in BATCH_CLASSES
        if (row := state.class_indexes.get(victim)) is not None
        and (column := state.class_indexes.get(other)) is not None
    ]
    truth, guess = np.array(pairs).T
    if guess.std() < 1e-9:
        return 0.0
    return float(np.corrcoef(truth, guess)[0, 1])


def _measure_recovery(tails, conditions):
    """Return the time from the rush until the tail stays back within 10 %."""

    def tail(from_s, to_s):
        pooled = np.concatenate(tails[from_s:to_s])
        return 1.0 + float(np.quantile(pooled, 0.99))

    shift_s = conditions.rush_start_s
    limit = 1.10 * min(tail(shift_s - 600, shift_s), 1.10)
    window_s, last = 30, 0
    for at_s in range(shift_s, conditions.rush_end_s - window_s, 10):
        if tail(at_s, at_s + window_s) > limit:
            last = at_s + window_s - shift_s
    return float(last)


def sum_up(driver):
    """Sum one run up."""
    world, conditions = driver.world, driver.world.conditions
    jobs = max(driver.finished, 1)
    available = world.user.workers * world.user.cores * conditions.horizon_s
    urgent = driver.urgent_s or [np.nan]
    return Outcome(
        scheme=driver.scheme.name,
        user=world.user.name,
        seed=conditions.seed,
        tail_p99=_quantile(driver.histogram, 0.99),
        tail_p50=_quantile(driver.histogram, 0.50),
        throughput=world.useful_core_s / available,
        evictions_per_1000=1000.0 * driver.evicted / jobs,
        lost_core_s_per_1000=1000.0 * driver.lost_core_s / jobs,
        capacity_exceeded=world.capacity_exceeded,
        urgent_p99_s=float(np.quantile(urgent, 0.99)),
        urgent_worst_s=float(max(urgent)),
        recovery_s=_measure_recovery(driver.tails, conditions),
        finished=driver.finished,
        refused=driver.refused,
        throttles=driver.throttles,
        late_share=driver.late / max(driver.service_s, 1.0),
        preempted_per_1000=1000.0 * driver.preempted / jobs,
        calibration=_measure_calibration(driver),
    )
