"""Versions of the code side by side, over days, seeds and variants of a deployment.

A policy that is judged by one deployment's days fits them. So versions are played on
the same days with the same seeds, on the deployments as given and on variants drawn
from a seed, and compared play by play.

Run ``python -m bench.experiments --help``.
"""

from bench.experiments.comparison import Comparison, compare, find_interval
from bench.experiments.plays import Outcome, Play, decode_report
from bench.experiments.runner import play_all, read_outcomes
from bench.experiments.variants import draw_variant, write_variant

__all__ = [
    "Comparison",
    "Outcome",
    "Play",
    "compare",
    "decode_report",
    "draw_variant",
    "find_interval",
    "play_all",
    "read_outcomes",
    "write_variant",
]
