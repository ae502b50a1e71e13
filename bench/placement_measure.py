"""Summary statistics of one simulation run."""

import attrs
import numpy as np

from bench.placement_world import (
    BATCH_CLASSES,
    CLASSES,
    LOAD_EXPONENT,
    LOAD_GAIN,
    SERVICE_CLASSES,
)

__all__ = ["EXCESS_BINS", "Outcome", "summarize_run"]

CALIBRATION_LOAD = 0.7
EXCESS_BINS = np.concatenate([np.arange(0.0, 1.0, 0.002), np.arange(1.0, 6.0, 0.05)])


@attrs.frozen(kw_only=True)
class Outcome:
    """Summary statistics of one simulation run."""

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


def _compute_quantile(histogram, fraction):
    edges = np.concatenate([[0.0], EXCESS_BINS])
    total = histogram.cumsum()
    return 1.0 + float(edges[np.searchsorted(total, fraction * total[-1])])


def _measure_calibration(driver):
    """Return the correlation of learned and true slowdowns of services by batch."""
    world, state = driver.world, driver.state
    gain = LOAD_GAIN * CALIBRATION_LOAD**LOAD_EXPONENT
    true_slowdowns = world.slowdown_matrix * (
        world.constant_share + gain * (1.0 - world.constant_share)
    )
    learned = state.model.base_slope + CALIBRATION_LOAD * state.model.load_slope
    pairs = [
        (
            true_slowdowns[CLASSES.index(victim), CLASSES.index(other)],
            learned[row, column],
        )
        for victim in SERVICE_CLASSES
        for other in BATCH_CLASSES
        if (row := state.class_indexes.get(victim)) is not None
        and (column := state.class_indexes.get(other)) is not None
    ]
    actual, predicted = np.array(pairs).T
    if predicted.std() < 1e-9:
        return 0.0
    return float(np.corrcoef(actual, predicted)[0, 1])


def _measure_recovery(samples, conditions):
    """Return the time from the start of the rush until p99 stays within 10 %, in s."""

    def compute_p99(from_s, to_s):
        pooled = np.concatenate(samples[from_s:to_s])
        return 1.0 + float(np.quantile(pooled, 0.99))

    rush_start_s = conditions.rush_start_s
    limit = 1.10 * min(compute_p99(rush_start_s - 600, rush_start_s), 1.10)
    window_s, recovery_s = 30, 0
    for at_s in range(rush_start_s, conditions.rush_end_s - window_s, 10):
        if compute_p99(at_s, at_s + window_s) > limit:
            recovery_s = at_s + window_s - rush_start_s
    return float(recovery_s)


def summarize_run(driver):
    """Compute the summary statistics of a run."""
    world, conditions = driver.world, driver.world.conditions
    jobs = max(driver.finished, 1)
    available_core_s = world.user.workers * world.user.cores * conditions.horizon_s
    urgent_waits_s = driver.urgent_waits_s or [np.nan]
    return Outcome(
        scheme=driver.scheme.name,
        user=world.user.name,
        seed=conditions.seed,
        tail_p99=_compute_quantile(driver.excess_histogram, 0.99),
        tail_p50=_compute_quantile(driver.excess_histogram, 0.50),
        throughput=world.useful_core_s / available_core_s,
        evictions_per_1000=1000.0 * driver.evicted / jobs,
        lost_core_s_per_1000=1000.0 * driver.lost_core_s / jobs,
        capacity_exceeded=world.capacity_exceeded,
        urgent_p99_s=float(np.quantile(urgent_waits_s, 0.99)),
        urgent_worst_s=float(max(urgent_waits_s)),
        recovery_s=_measure_recovery(driver.excess_samples, conditions),
        finished=driver.finished,
        refused=driver.refused,
        throttles=driver.throttles,
        late_share=driver.late_service_s / max(driver.service_s, 1.0),
        preempted_per_1000=1000.0 * driver.preempted / jobs,
        calibration=_measure_calibration(driver),
    )
