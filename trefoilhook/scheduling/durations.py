"""Learned durations of tasks, by queue and image.

Declared durations deviate in two ways. All tasks of a step may take longer or shorter
than declared, by a factor that differs by job, and single tasks may take far longer
than the others of their step. One distribution is kept for each: ``declared`` contains
the ratios of actual to declared durations, and ``spread`` the ratios of the durations
of a speculative step to their median.
"""

import json
import statistics
from typing import Any

import attrs

from trefoilhook.decoding import (
    check_object,
    parse_json,
    read_list,
    read_number,
    read_object,
    read_string,
)
from trefoilhook.exceptions import DecodeError
from trefoilhook.scheduling.models import Step
from trefoilhook.scheduling.ratios import RatioHistogram
from trefoilhook.scheduling.tickets import StepName

__all__ = [
    "MIN_SIBLINGS",
    "DurationModel",
    "Durations",
    "decode_durations",
    "encode_durations",
    "estimate_excess",
]

_HALF_LIFE_MS = 120_000.0
"""Half-life of the weight of an observation, in ms. It bounds the time until a change
of an image is reflected in the estimates."""

_FADE_PERIOD_MS = 2000.0
"""Minimum time between two decays of one distribution, in ms. A decay iterates over all
buckets."""

_MIN_EVIDENCE = 20.0
"""Minimum weight of a distribution that is used, in observations. The tail is unknown
below it."""

_MIN_TAIL_EVIDENCE = 2.0
"""Weight of the longer observations below which the remaining time of a run is assumed
to equal its run time."""

_MAX_KEYS = 48
"""Maximum number of models, by queue and image. The most recently updated ones are
kept, which bounds the size of the stored record."""

_MAX_STEPS = 512
"""Maximum number of speculative steps whose durations are kept. The oldest are removed
first."""

MIN_SIBLINGS = 3
"""Minimum number of completed tasks for which the median of a step is used."""

_MIN_RUN_MS = 1.0
"""Lower bound on recorded durations, in ms: the resolution of the clock."""

_MAX_SLOWING_SHARE = 0.5
"""Maximum fraction of its run time that a run may lose to throttling. Beyond it the
duration without throttling is too uncertain to be recorded."""

_MAX_COUNT = 1e9
"""Maximum decoded count."""

_VERSION_INTERVAL = 32
"""Number of observations after which the version of the models changes. Each version is
written to the store, and a takeover loses the observations since the last one."""


@attrs.define(kw_only=True)
class DurationModel:
    """Distributions of one queue and image.

    Parameters
    ----------
    declared : RatioHistogram
        Ratios of actual to declared durations.
    spread : RatioHistogram
        Ratios of actual durations to the median of their step.
    done, failed : float
        Decayed number of attempts that were completed or failed.
    """

    declared: RatioHistogram = attrs.Factory(RatioHistogram)
    spread: RatioHistogram = attrs.Factory(RatioHistogram)
    done: float = 0.0
    failed: float = 0.0
    _faded_ms: float | None = attrs.field(default=None, eq=False)

    def fade(self, now_ms: float) -> None:
        """Apply the decay since the last call."""
        if self._faded_ms is None:
            self._faded_ms = now_ms
        elapsed_ms = now_ms - self._faded_ms
        if elapsed_ms < _FADE_PERIOD_MS:
            return
        self._faded_ms = now_ms
        factor = 0.5 ** (elapsed_ms / _HALF_LIFE_MS)
        self.declared.fade(factor)
        self.spread.fade(factor)
        self.done *= factor
        self.failed *= factor


@attrs.define(kw_only=True)
class Durations:
    """Learned durations of the tasks of all queues.

    Parameters
    ----------
    models : dict of (str, str) to DurationModel
        Models by queue and image, in the order of their last update.

    Attributes
    ----------
    observations : int
        Number of attempts recorded by this owner.
    """

    models: dict[tuple[str, str], DurationModel] = attrs.Factory(dict)
    observations: int = attrs.field(default=0, init=False, eq=False)
    _durations_ms: dict[StepName, list[float]] = attrs.field(
        factory=dict, init=False, eq=False
    )

    @property
    def version(self) -> int:
        """Version of the models, which changes after every few observations."""
        return -(-self.observations // _VERSION_INTERVAL)

    def record_done(
        self,
        queue: str,
        step: Step,
        name: StepName,
        *,
        ran_ms: float,
        slowing_ms: float,
        now_ms: float,
    ) -> None:
        """Record an attempt that was completed and had not been resumed.

        Parameters
        ----------
        queue : str
            Queue of its job.
        step : Step
            Its step.
        name : StepName
            Name of the step.
        ran_ms, slowing_ms : float
            Duration, and the part of it that was lost to throttling, in ms.
        now_ms : float
            Current time, in ms.
        """
        if slowing_ms > _MAX_SLOWING_SHARE * ran_ms:
            return
        work_ms = max(_MIN_RUN_MS, ran_ms - slowing_ms)
        model = self._update(queue, step, now_ms)
        model.done += 1.0
        if step.estimate_ms > 0.0:
            model.declared.add(work_ms / step.estimate_ms)
        if step.speculative:
            self._record_sibling(model, step, name, work_ms)

    def record_failed(self, queue: str, step: Step, now_ms: float) -> None:
        """Count a failed attempt."""
        self._update(queue, step, now_ms).failed += 1.0

    def record_censored(
        self, queue: str, step: Step, name: StepName, *, total_ms: float, now_ms: float
    ) -> None:
        """Record a run that was stopped because its copy completed first.

        Without these runs the distribution would lack the tail that copies cut off.

        Parameters
        ----------
        queue, step, name
            As for ``record_done``.
        total_ms : float
            Estimated total duration, in ms.
        now_ms : float
            Current time, in ms.
        """
        median_ms = self.find_median(step, name)
        if median_ms is not None:
            self._update(queue, step, now_ms).spread.add(total_ms / median_ms)

    def find_median(self, step: Step, name: StepName) -> float | None:
        """Return the median duration of a step's completed tasks, in ms.

        None if the step is not speculative, or if less than half of its tasks have
        been completed, as the first tasks to complete are the shortest.
        """
        runs_ms = self._durations_ms.get(name, ())
        if len(runs_ms) < max(MIN_SIBLINGS, step.count / 2):
            return None
        return statistics.median(runs_ms)

    def estimate(self, queue: str, step: Step) -> float:
        """Return the typical duration of a task, in ms."""
        return self.compute_quantile(queue, step, 0.5, prior=1.0)

    def compute_quantile(
        self, queue: str, step: Step, fraction: float, *, prior: float
    ) -> float:
        """Return a quantile of the durations of a task, in ms.

        Parameters
        ----------
        queue : str
            Queue of the task.
        step : Step
            Its step.
        fraction : float
            Fraction of the tasks.
        prior : float
            Ratio to the declared duration that is assumed if too little is learned.
        """
        histogram = self.find_declared(queue, step)
        if histogram is None:
            return prior * step.estimate_ms
        return histogram.compute_quantile(fraction) * step.estimate_ms

    def estimate_rest(self, queue: str, step: Step, ran_ms: float) -> float:
        """Return the expected remaining time of a run after ``ran_ms``, in ms."""
        if step.estimate_ms <= 0.0:
            return ran_ms
        histogram = self.find_declared(queue, step)
        if histogram is None and ran_ms < step.estimate_ms:
            return step.estimate_ms - ran_ms
        return step.estimate_ms * estimate_excess(histogram, ran_ms / step.estimate_ms)

    def get_failure_share(self, queue: str, step: Step) -> float:
        """Return the fraction of attempts that fail; 0 if too few were recorded."""
        model = self.models.get((queue, step.image))
        if model is None or model.done + model.failed < _MIN_EVIDENCE:
            return 0.0
        return model.failed / (model.done + model.failed)

    def find_declared(self, queue: str, step: Step) -> RatioHistogram | None:
        """Return ratios to declared durations for a queue and image, or the queue."""
        return self._find(queue, step.image, "declared")

    def find_spread(self, queue: str, step: Step) -> RatioHistogram | None:
        """Return ratios to the step median for a queue and image, or the queue."""
        return self._find(queue, step.image, "spread")

    def _find(self, queue: str, image: str, name: str) -> RatioHistogram | None:
        model = self.models.get((queue, image))
        if model is not None:
            own: RatioHistogram = getattr(model, name)
            if own.weight >= _MIN_EVIDENCE:
                return own
        pooled = RatioHistogram()
        pooled.merge(
            getattr(other, name)
            for (other_queue, _), other in self.models.items()
            if other_queue == queue
        )
        return pooled if pooled.weight >= _MIN_EVIDENCE else None

    def _update(self, queue: str, step: Step, now_ms: float) -> DurationModel:
        """Return the model of a queue and image in order to add an observation."""
        key = (queue, step.image)
        model = self.models.pop(key, None) or DurationModel()
        self.models[key] = model
        if len(self.models) > _MAX_KEYS:
            del self.models[next(iter(self.models))]
        model.fade(now_ms)
        self.observations += 1
        return model

    def _record_sibling(
        self, model: DurationModel, step: Step, name: StepName, work_ms: float
    ) -> None:
        runs_ms = self._durations_ms.setdefault(name, [])
        runs_ms.append(work_ms)
        if len(self._durations_ms) > _MAX_STEPS:
            del self._durations_ms[next(iter(self._durations_ms))]
        if len(runs_ms) < step.count or step.count < MIN_SIBLINGS:
            return
        median_ms = statistics.median(runs_ms)
        for each_ms in runs_ms:
            model.spread.add(each_ms / median_ms)
        self._durations_ms.pop(name, None)


def estimate_excess(histogram: RatioHistogram | None, ratio: float) -> float:
    """Return the mean excess over a ratio of the durations that exceed it.

    If too few observations exceed it, the ratio itself is returned.
    """
    if histogram is None or histogram.compute_weight_above(ratio) < _MIN_TAIL_EVIDENCE:
        return ratio
    return histogram.compute_mean_excess(ratio)


def encode_durations(durations: Durations) -> bytes:
    """Encode the learned durations for the next owner."""
    rows = [
        {
            "queue": queue,
            "image": image,
            "declared": model.declared.encode(),
            "spread": model.spread.encode(),
            "done": round(model.done, 2),
            "failed": round(model.failed, 2),
        }
        for (queue, image), model in durations.models.items()
    ]
    return json.dumps({"rows": rows}, separators=(",", ":")).encode()


def decode_durations(data: bytes) -> Durations:
    """Decode the output of ``encode_durations``.

    Raises
    ------
    DecodeError
        If the data is invalid.
    """
    rows = read_list(check_object(parse_json(data), "durations"), "rows")
    if len(rows) > _MAX_KEYS:
        raise DecodeError("durations: too many rows")
    models: dict[tuple[str, str], DurationModel] = {}
    for row in rows:
        key, model = _decode_row(row)
        models[key] = model
    return Durations(models=models)


def _decode_row(value: Any) -> tuple[tuple[str, str], DurationModel]:
    table = check_object(value, "row")
    model = DurationModel(
        declared=RatioHistogram.decode(read_object(table, "declared")),
        spread=RatioHistogram.decode(read_object(table, "spread")),
        done=read_number(table, "done", minimum=0.0, maximum=_MAX_COUNT),
        failed=read_number(table, "failed", minimum=0.0, maximum=_MAX_COUNT),
    )
    return (read_string(table, "queue"), read_string(table, "image")), model
