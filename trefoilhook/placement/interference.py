"""Online model of interference between task classes, depending on load.

The excess slowdown (slowdown relative to running alone, minus one) of a service of
class ``v`` on a worker is modelled as::

    e_v = sum over classes c of (A[v, c] + B[v, c] * u) * p[c]

where ``p[c]`` is the share of the worker's cores that tasks of class ``c`` use and
``u`` the sum of all shares. ``A`` is the part that does not depend on load and ``B``
the part that grows with it. The service's own share is included in its class, both in
learning and in prediction, so that the features are consistent.

Each row ``w_v = [A[v], B[v]]`` is a Gaussian with mean ``m`` and covariance ``P``.
Its prior is hierarchical: covariance ``tau**2 * ones + sigma**2 * eye`` in each half.
The shared part ``tau`` shrinks an unobserved pair towards the other pairs of the row.
Between reports the row decays towards its prior (an Ornstein-Uhlenbeck process with
time constant ``T``, ``a = exp(-dt / T)``)::

    m = m0 + a * (m - m0)
    P = a**2 * P + (1 - a**2) * P0

A report with features ``x = [p, u * p]`` and excess ``y`` is a Kalman update::

    k = P x / (x' P x + r)
    m = m + k * (y - x' m)
    P = P - k x' P

References
----------
.. [1] R. E. Kalman, "A New Approach to Linear Filtering and Prediction Problems",
   Journal of Basic Engineering 82, 1960.
.. [2] B. Efron and C. Morris, "Data Analysis Using Stein's Estimator and Its
   Generalizations", JASA 70, 1975: shrinkage towards a common mean.
.. [3] J. Mars et al., "Bubble-Up", MICRO 2011: slowdown as pressure times
   sensitivity.
"""

import math

import attrs
import numpy as np
import numpy.typing as npt

__all__ = ["CLASS_LIMIT", "InterferenceModel", "update_row"]

CLASS_LIMIT = 16
"""Number of task classes modelled by a shard; further classes share the last index."""

_PRIOR_MEAN = 0.1
_PRIOR_SHARED_SD = 0.1
_PRIOR_PAIR_SD = 0.3
_NOISE_SD = 0.03
_DECAY_TIME_MS = 4 * 3_600_000.0

Floats = npt.NDArray[np.float64]


def _build_prior_covariance() -> Floats:
    half = np.full((CLASS_LIMIT, CLASS_LIMIT), _PRIOR_SHARED_SD**2)
    half += np.eye(CLASS_LIMIT) * _PRIOR_PAIR_SD**2
    prior = np.zeros((2 * CLASS_LIMIT, 2 * CLASS_LIMIT))
    prior[:CLASS_LIMIT, :CLASS_LIMIT] = half
    prior[CLASS_LIMIT:, CLASS_LIMIT:] = half
    return prior


_PRIOR_COVARIANCE = _build_prior_covariance()


def _build_prior_mean() -> Floats:
    return np.full((CLASS_LIMIT, 2 * CLASS_LIMIT), _PRIOR_MEAN)


def _compute_deviation(covariance: Floats) -> Floats:
    """Return the standard deviation of each pair's slowdown at full load."""
    variance = np.diagonal(covariance)
    deviation: Floats = np.sqrt(variance[:CLASS_LIMIT] + variance[CLASS_LIMIT:])
    return deviation


def _build_prior_deviation() -> Floats:
    return np.tile(_compute_deviation(_PRIOR_COVARIANCE), (CLASS_LIMIT, 1))


@attrs.define(kw_only=True)
class InterferenceModel:
    """State of the model: one Gaussian row for each service class.

    Parameters
    ----------
    mean : array, shape (CLASS_LIMIT, 2 * CLASS_LIMIT)
        Means of ``[A, B]``.
    deviation : array, shape (CLASS_LIMIT, CLASS_LIMIT)
        Standard deviation of each pair's slowdown at full load.
    covariances : dict of int to array
        Covariance of each row that has been updated.
    learned_at_ms : dict of int to float
        When each row was last updated, in ms.
    decay_time_ms : float
        Time constant of the decay to the prior, in ms.
    """

    mean: Floats = attrs.field(factory=_build_prior_mean)
    deviation: Floats = attrs.field(factory=_build_prior_deviation)
    covariances: dict[int, Floats] = attrs.field(factory=dict)
    updated_at_ms: dict[int, float] = attrs.field(factory=dict)
    decay_time_ms: float = _DECAY_TIME_MS

    @property
    def base_slope(self) -> Floats:
        """The part ``A`` of the slowdown that does not depend on load."""
        return self.mean[:, :CLASS_LIMIT]

    @property
    def load_slope(self) -> Floats:
        """The part ``B`` of the slowdown that grows with load."""
        return self.mean[:, CLASS_LIMIT:]


def _decay_to_prior(model: InterferenceModel, row: int, now_ms: float) -> Floats:
    covariance = model.covariances.get(row)
    if covariance is None:
        return _PRIOR_COVARIANCE.copy()
    elapsed_ms = max(0.0, now_ms - model.updated_at_ms[row])
    decay = math.exp(-elapsed_ms / model.decay_time_ms)
    model.mean[row] = _PRIOR_MEAN + decay * (model.mean[row] - _PRIOR_MEAN)
    return decay**2 * covariance + (1.0 - decay**2) * _PRIOR_COVARIANCE


def update_row(
    model: InterferenceModel,
    *,
    row: int,
    features: Floats,
    excess: float,
    now_ms: float,
) -> float:
    """Update one row with a measured excess (Kalman update).

    Parameters
    ----------
    model : InterferenceModel
        Model to update in place.
    row : int
        Index of the service's class.
    features : array, shape (2 * CLASS_LIMIT,)
        ``[p, u * p]`` averaged over the measurement window.
    excess : float
        Measured slowdown minus one.
    now_ms : float
        Time of the update, in ms.

    Returns
    -------
    float
        Innovation: measured excess minus the excess predicted before the update.
    """
    covariance = _decay_to_prior(model, row, now_ms)
    projected = covariance @ features
    innovation_variance = float(features @ projected) + _NOISE_SD**2
    innovation = excess - float(features @ model.mean[row])
    gain = projected / innovation_variance
    model.mean[row] += gain * innovation
    covariance -= np.outer(gain, projected)
    model.covariances[row] = covariance
    model.deviation[row] = _compute_deviation(covariance)
    model.updated_at_ms[row] = now_ms
    return innovation
