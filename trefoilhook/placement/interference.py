"""How much tasks slow each other: an online model by pairs of classes and load.

The excess slowdown (slowdown over running alone, less one) of a service of class
``v`` on a worker is modelled as::

    e_v = sum over classes c of (A[v, c] + B[v, c] * u) * p[c]

where ``p[c]`` is the share of the worker's cores that tasks of class ``c`` use and
``u`` the sum of all shares. ``A`` is the part that does not depend on load and ``B``
the part that grows with it. The service's own share is counted among its class, in
learning and in prediction alike, so that both see the same features.

Each row ``w_v = [A[v], B[v]]`` is a Gaussian with mean ``m`` and covariance ``P``.
Its prior is hierarchical: covariance ``tau**2 * ones + sigma**2 * eye`` in each half.
The common part ``tau`` shrinks a pair that was never seen towards what the row's other
pairs have shown. Between reports the row forgets towards its prior (an
Ornstein-Uhlenbeck process with time constant ``T``, ``a = exp(-dt / T)``)::

    m = m0 + a * (m - m0)
    P = a**2 * P + (1 - a**2) * P0

and a report with features ``x = [p, u * p]`` and excess ``y`` is a Kalman update::

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

__all__ = ["CLASS_LIMIT", "InterferenceModel", "learn_excess"]

CLASS_LIMIT = 16
"""Task classes told apart by one shard; further ones share the last index."""

_PRIOR_MEAN = 0.1
_PRIOR_COMMON_SD = 0.1
_PRIOR_PAIR_SD = 0.3
_NOISE_SD = 0.03
_FORGET_MS = 4 * 3_600_000.0

Floats = npt.NDArray[np.float64]


def _build_prior_covariance() -> Floats:
    half = np.full((CLASS_LIMIT, CLASS_LIMIT), _PRIOR_COMMON_SD**2)
    half += np.eye(CLASS_LIMIT) * _PRIOR_PAIR_SD**2
    prior = np.zeros((2 * CLASS_LIMIT, 2 * CLASS_LIMIT))
    prior[:CLASS_LIMIT, :CLASS_LIMIT] = half
    prior[CLASS_LIMIT:, CLASS_LIMIT:] = half
    return prior


_PRIOR_COVARIANCE = _build_prior_covariance()


def _build_prior_mean() -> Floats:
    return np.full((CLASS_LIMIT, 2 * CLASS_LIMIT), _PRIOR_MEAN)


def _measure_deviation(covariance: Floats) -> Floats:
    """Return the standard deviation of each pair's slowdown at full load."""
    variance = np.diagonal(covariance)
    deviation: Floats = np.sqrt(variance[:CLASS_LIMIT] + variance[CLASS_LIMIT:])
    return deviation


def _build_prior_deviation() -> Floats:
    return np.tile(_measure_deviation(_PRIOR_COVARIANCE), (CLASS_LIMIT, 1))


@attrs.define(kw_only=True)
class InterferenceModel:
    """State of the model: one Gaussian row for each class of service.

    Parameters
    ----------
    mean : array, shape (CLASS_LIMIT, 2 * CLASS_LIMIT)
        Means of ``[A, B]``.
    deviation : array, shape (CLASS_LIMIT, CLASS_LIMIT)
        Standard deviation of each pair's slowdown at full load.
    covariances : dict of int to array
        Covariance of each row that has been learned.
    learned_at_ms : dict of int to float
        When each row was last updated, in ms.
    forget_ms : float
        Time constant of forgetting, in ms.
    """

    mean: Floats = attrs.field(factory=_build_prior_mean)
    deviation: Floats = attrs.field(factory=_build_prior_deviation)
    covariances: dict[int, Floats] = attrs.field(factory=dict)
    learned_at_ms: dict[int, float] = attrs.field(factory=dict)
    forget_ms: float = _FORGET_MS

    @property
    def constant(self) -> Floats:
        """The part ``A`` of the slowdown that does not depend on load."""
        return self.mean[:, :CLASS_LIMIT]

    @property
    def loaded(self) -> Floats:
        """The part ``B`` of the slowdown that grows with load."""
        return self.mean[:, CLASS_LIMIT:]


def _forget(model: InterferenceModel, row: int, now_ms: float) -> Floats:
    covariance = model.covariances.get(row)
    if covariance is None:
        return _PRIOR_COVARIANCE.copy()
    elapsed_ms = max(0.0, now_ms - model.learned_at_ms[row])
    kept = math.exp(-elapsed_ms / model.forget_ms)
    model.mean[row] = _PRIOR_MEAN + kept * (model.mean[row] - _PRIOR_MEAN)
    return kept**2 * covariance + (1.0 - kept**2) * _PRIOR_COVARIANCE


def learn_excess(
    model: InterferenceModel,
    *,
    row: int,
    features: Floats,
    excess: float,
    now_ms: float,
) -> float:
    """Update one row with one measured excess.

    Parameters
    ----------
    model : InterferenceModel
        Model to update in place.
    row : int
        Index of the service's class.
    features : array, shape (2 * CLASS_LIMIT,)
        ``[p, u * p]`` as they were when the report was measured.
    excess : float
        Measured slowdown less one.
    now_ms : float
        Time of the update, in ms.

    Returns
    -------
    float
        How far the measurement was from what the row predicted before it.
    """
    covariance = _forget(model, row, now_ms)
    projected = covariance @ features
    spread = float(features @ projected) + _NOISE_SD**2
    error = excess - float(features @ model.mean[row])
    gain = projected / spread
    model.mean[row] += gain * error
    covariance -= np.outer(gain, projected)
    model.covariances[row] = covariance
    model.deviation[row] = _measure_deviation(covariance)
    model.learned_at_ms[row] = now_ms
    return error
