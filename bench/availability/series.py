"""Seeded series of disruptions and planned work."""

import random

import attrs

from bench.availability.load import Load

__all__ = [
    "AIMED_AT_SERVICES",
    "PLANNED",
    "UNPLANNED",
    "Action",
    "Series",
    "build_series",
]

_CALM_MS = 15_000.0
_WARM_MS = 8000.0

PLANNED = (
    "stop owner",
    "drain workers",
    "roll workers and owner",
    "add workers",
    "cancel services",
    "submit services",
)
AIMED_AT_SERVICES = ("lose a service repeatedly", "crash a service repeatedly")
UNPLANNED = (
    "kill owner",
    "crash workers",
    "lose workers",
    *AIMED_AT_SERVICES,
    "cut workers",
    "cut workers one way",
    "lossy workers",
    "cut workers from owner",
    "cut owner from store",
    "store busy",
    "store silent",
    "late starts",
    "flap workers",
)
_LONGEST_MS = {
    "roll workers and owner": 16_000.0,
    "lose a service repeatedly": 36_000.0,
    "crash a service repeatedly": 6000.0,
}
"""Maximum duration of some kinds, in ms."""

_MAKES_ROOM = ("add workers", "cancel services", "cancel services")


@attrs.frozen(kw_only=True)
class Action:
    """One disruption or planned action.

    Parameters
    ----------
    at_ms : float
        Time since the begin, in ms.
    kind : str
        Name of the action, one of `PLANNED` and `UNPLANNED`.
    share : float
        Fraction of the workers, or services, concerned.
    duration_ms : float
        Duration, in ms.
    """

    at_ms: float
    kind: str
    share: float = 0.0
    duration_ms: float = 0.0


@attrs.frozen(kw_only=True)
class Series:
    """A series of actions on a fleet.

    Parameters
    ----------
    seed : int
        Seed of the load and of the choices.
    workers, instances : int
        Number of workers and instances.
    load : Load
        What clients submit.
    length_ms : float
        Duration, in ms.
    actions : tuple of Action
        The actions.
    """

    seed: int
    workers: int
    instances: int
    load: Load
    length_ms: float
    actions: tuple[Action, ...]


@attrs.frozen(kw_only=True)
class _Profile:
    """Distribution of series.

    Parameters
    ----------
    kinds : tuple of str
        Kinds of actions in a block.
    first_kind : str
        Kind of the first action of a block; empty for any.
    gaps_ms : tuple of float
        Times between the actions of a block, in ms.
    max_actions : int
        Maximum number of actions in a block.
    loads : dict of str to tuple
        Possible values of the parameters of the load, where they differ from those of
        `_LOADS`.
    """

    kinds: tuple[str, ...]
    first_kind: str = ""
    gaps_ms: tuple[float, ...] = (100.0, 700.0, 1500.0, 2500.0, 5000.0)
    max_actions: int = 5
    loads: dict[str, tuple[float, ...]] = attrs.Factory(dict)


_LOADS: dict[str, tuple[float, ...]] = {
    "fill": (0.5, 0.7, 0.85, 0.95),
    "spread": (0.25, 0.7),
    "batch": (0.0, 0.0, 0.1, 0.25),
    "urgent_per_s": (0.0, 0.0, 1.0, 3.0),
    "burst": (0.0, 0.1, 0.2),
    "burst_ms": (1000.0, 6000.0, 9000.0),
    "churn_ms": (0.0, 1500.0, 4000.0),
}
"""Possible values of the parameters of the load."""

_PROFILES = (
    _Profile(kinds=UNPLANNED + PLANNED + ("kill owner",) * 2),
    _Profile(kinds=PLANNED),
    # New services beside capacity that bursts of urgent tasks use at times.
    _Profile(
        kinds=("submit services", "cancel services", "stop owner"),
        loads={
            "fill": (0.8, 0.9),
            "batch": (0.0,),
            "urgent_per_s": (0.0,),
            "burst": (0.08, 0.15),
            "burst_ms": (6000.0, 9000.0),
            "churn_ms": (1500.0, 2500.0),
        },
    ),
    # Displaced services of all sizes beside work that ends within seconds.
    _Profile(
        kinds=("drain workers", "cancel services", "add workers"),
        loads={
            "fill": (0.6, 0.75),
            "spread": (0.7,),
            "batch": (0.5, 0.7),
            "burst": (0.0,),
            "urgent_per_s": (0.0,),
        },
    ),
    # Services that are lost again and again.
    _Profile(
        kinds=("flap workers", "crash workers", "lose workers", "kill owner"),
        first_kind="lose a service repeatedly",
        max_actions=3,
        loads={"fill": (0.3, 0.5), "batch": (0.0,), "churn_ms": (0.0,)},
    ),
    _Profile(
        kinds=("crash a service repeatedly", "lose workers", "stop owner"),
        first_kind="crash a service repeatedly",
        max_actions=3,
        loads={"fill": (0.3, 0.5, 0.8), "batch": (0.0,), "churn_ms": (0.0, 4000.0)},
    ),
    # Owners that are replaced while workers leave, or after some were lost.
    _Profile(
        kinds=("roll workers and owner", "drain workers", "stop owner"),
        first_kind="roll workers and owner",
        loads={"fill": (0.4, 0.6)},
    ),
    _Profile(
        kinds=("stop owner",),
        first_kind="lose workers",
        gaps_ms=(700.0, 2500.0, 5000.0),
        max_actions=6,
        loads={"fill": (0.4, 0.6)},
    ),
)


def build_series(seed: int) -> Series:
    """Return the series of a seed: blocks of trouble, each followed by calm."""
    generator = random.Random(seed)
    profile = _PROFILES[seed % len(_PROFILES)]
    loads = {**_LOADS, **profile.loads}
    at_ms = _WARM_MS
    actions: list[Action] = []
    for _ in range(generator.randint(1, 2)):
        at_ms = _add_block(actions, generator, profile, at_ms)
    return Series(
        seed=seed,
        workers=generator.choice((6, 9)),
        instances=3,
        load=Load(**{name: generator.choice(values) for name, values in loads.items()}),
        length_ms=at_ms,
        actions=tuple(sorted(actions, key=lambda action: action.at_ms)),
    )


def _add_block(
    actions: list[Action],
    generator: random.Random,
    profile: _Profile,
    begin_ms: float,
) -> float:
    """Add actions and, in the calm after them, some that make room; return its end."""
    at_ms = end_ms = begin_ms
    for number in range(generator.randint(1, profile.max_actions)):
        kind = generator.choice(profile.kinds)
        if not number and profile.first_kind:
            kind = profile.first_kind
        action = _build_action(generator, kind, at_ms)
        actions.append(action)
        end_ms = max(end_ms, at_ms + action.duration_ms)
        at_ms += generator.choice(profile.gaps_ms)
    for _ in range(generator.randint(0, 3)):
        kind = generator.choice(_MAKES_ROOM)
        at_ms = end_ms + generator.uniform(0.0, 9000.0)
        actions.append(_build_action(generator, kind, at_ms))
    return end_ms + _CALM_MS


def _build_action(generator: random.Random, kind: str, at_ms: float) -> Action:
    longest_ms = _LONGEST_MS.get(kind, 6500.0)
    return Action(
        at_ms=at_ms,
        kind=kind,
        share=generator.choice((0.1, 0.2, 0.35, 0.6)),
        duration_ms=generator.uniform(500.0, longest_ms),
    )
