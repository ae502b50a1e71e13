"""Random variants of a deployment.

Properties that a scheduler must not rely on are drawn within plausible bounds for a
similar customer: load, load variation and latency limits of service tasks, the strength
and frequency of interference by fillers, CPU demand and width of jobs, and the traffic
mix. Machines, faults and prices are unchanged.
"""

import copy
import pathlib
import random
import shutil
import tomllib
from typing import Any

import tomli_w

__all__ = ["draw_variant", "write_variant"]

_LOAD = (0.3, 0.6)
_SWING = (0.2, 0.8)
_SWING_PERIOD_S = (6.0, 30.0)
_LIMIT_FACTOR = (3.5, 7.0)
_PRESSURE_FACTOR = (0.6, 1.6)
_HEAVY_SHARE = (0.3, 0.8)
_CPU_FACTOR = (0.75, 1.3)
_WIDTH_FACTOR = (0.7, 1.4)
_MIX_FACTOR = (0.75, 1.3)


def _draw_shares(shares: dict[str, Any], generator: random.Random) -> None:
    """Draw the load and interference parameters of tasks that share workers."""
    if "load" in shares:
        shares["load"] = round(generator.uniform(*_LOAD), 2)
        shares["swing"] = round(generator.uniform(*_SWING), 2)
        shares["swing_s"] = round(generator.uniform(*_SWING_PERIOD_S), 1)
        shares["target_x"] = round(generator.uniform(*_LIMIT_FACTOR), 1)
    if "presses" in shares:
        shares["presses"] = round(
            shares["presses"] * generator.uniform(*_PRESSURE_FACTOR), 2
        )
        shares["heavy"] = round(generator.uniform(*_HEAVY_SHARE), 2)


def _scale_mean(table: dict[str, Any], factor: float) -> None:
    table["mean"] = round(table["mean"] * factor, 2)


def _scale_mixes(traffic: list[dict[str, Any]], factors: dict[str, float]) -> None:
    for row in traffic:
        for name, factor in factors.items():
            if name in row["mix"]:
                row["mix"][name] = round(row["mix"][name] * factor, 4)


def draw_variant(site: dict[str, Any], seed: int) -> dict[str, Any]:
    """Return a variant of a deployment.

    Parameters
    ----------
    site : dict
        Parsed file of the deployment; it is not modified.
    seed : int
        Random seed; equal seeds give equal variants.
    """
    generator = random.Random(seed)
    variant = copy.deepcopy(site)
    factors: dict[str, float] = {}
    for kind in variant["classes"]:
        jobs = kind.get("jobs", {})
        _draw_shares(jobs.get("shares", {}), generator)
        if "cpu" in jobs:
            _scale_mean(jobs["cpu"], generator.uniform(*_CPU_FACTOR))
            _scale_mean(jobs["width"], generator.uniform(*_WIDTH_FACTOR))
        factors[kind["name"]] = generator.uniform(*_MIX_FACTOR)
    _scale_mixes(variant["traffic"], factors)
    for day in variant["day"]:
        _scale_mixes(day.get("traffic", []), factors)
    return variant


def write_variant(site: pathlib.Path, seed: int, folder: pathlib.Path) -> pathlib.Path:
    """Write a variant of a deployment and copy the ``wire.json`` next to its file.

    Parameters
    ----------
    site : pathlib.Path
        The deployment's file.
    seed : int
        Seed of the variant.
    folder : pathlib.Path
        Parent of the folder created for the variant.

    Returns
    -------
    pathlib.Path
        File of the variant.
    """
    target = folder / f"{site.stem}-{seed}"
    target.mkdir(parents=True, exist_ok=True)
    variant = draw_variant(tomllib.loads(site.read_text()), seed)
    path = target / site.name
    path.write_text(tomli_w.dumps(variant))
    wire_file = site.parent / "wire.json"
    if wire_file.exists() and not (target / wire_file.name).exists():
        shutil.copyfile(wire_file, target / wire_file.name)
    return path
