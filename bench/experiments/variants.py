"""Variants of a deployment, drawn from a seed.

What a scheduler must not rely on is drawn anew within bounds that a like customer could
have: how busy service tasks are, how they swing, where their limits are, how heavily
and how often fillers disturb them, how large and wide tasks are, and how much of the
traffic is of which kind. Machines, faults and prices stay.
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
_SWING_S = (6.0, 30.0)
_LIMIT = (3.5, 7.0)
_PRESSURE = (0.6, 1.6)
_HEAVY_SHARE = (0.3, 0.8)
_SIZE = (0.75, 1.3)
_WIDTH = (0.7, 1.4)
_MIX = (0.75, 1.3)


def _draw_sharing(shares: dict[str, Any], generator: random.Random) -> None:
    """Draw how tasks that share workers behave."""
    if "load" in shares:
        shares["load"] = round(generator.uniform(*_LOAD), 2)
        shares["swing"] = round(generator.uniform(*_SWING), 2)
        shares["swing_s"] = round(generator.uniform(*_SWING_S), 1)
        shares["target_x"] = round(generator.uniform(*_LIMIT), 1)
    if "presses" in shares:
        shares["presses"] = round(shares["presses"] * generator.uniform(*_PRESSURE), 2)
        shares["heavy"] = round(generator.uniform(*_HEAVY_SHARE), 2)


def _scale_mean(table: dict[str, Any], factor: float) -> None:
    table["mean"] = round(table["mean"] * factor, 2)


def _scale_mixes(traffic: list[dict[str, Any]], factors: dict[str, float]) -> None:
    for row in traffic:
        for name, factor in factors.items():
            if name in row["mix"]:
                row["mix"][name] = round(row["mix"][name] * factor, 4)


def draw_variant(site: dict[str, Any], seed: int) -> dict[str, Any]:
    """Return a variant of a deployment's file.

    Parameters
    ----------
    site : dict
        The file as parsed; it is left as it is.
    seed : int
        The same seed draws the same variant.
    """
    generator = random.Random(seed)
    variant = copy.deepcopy(site)
    factors: dict[str, float] = {}
    for kind in variant["classes"]:
        jobs = kind.get("jobs", {})
        _draw_sharing(jobs.get("shares", {}), generator)
        if "cpu" in jobs:
            _scale_mean(jobs["cpu"], generator.uniform(*_SIZE))
            _scale_mean(jobs["width"], generator.uniform(*_WIDTH))
        factors[kind["name"]] = generator.uniform(*_MIX)
    _scale_mixes(variant["traffic"], factors)
    for day in variant["day"]:
        _scale_mixes(day.get("traffic", []), factors)
    return variant


def write_variant(site: pathlib.Path, seed: int, folder: pathlib.Path) -> pathlib.Path:
    """Write a variant of a deployment's file, with what stands beside it.

    Parameters
    ----------
    site : pathlib.Path
        The deployment's file.
    seed : int
        Seed of the variant.
    folder : pathlib.Path
        Under which a folder of its own is made.

    Returns
    -------
    pathlib.Path
        The variant's file.
    """
    target = folder / f"{site.stem}-{seed}"
    target.mkdir(parents=True, exist_ok=True)
    variant = draw_variant(tomllib.loads(site.read_text()), seed)
    path = target / site.name
    path.write_text(tomli_w.dumps(variant))
    beside = site.parent / "wire.json"
    if beside.exists() and not (target / beside.name).exists():
        shutil.copyfile(beside, target / beside.name)
    return path
