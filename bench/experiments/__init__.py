"""Paired comparison of versions of the code over days, seeds and deployment variants.

A policy tuned on the days of a single deployment overfits them. All versions are
therefore run on the same days with the same seeds, on the given deployments and on
randomly drawn variants, and compared run by run.

Run ``python -m bench.experiments --help``.
"""

from bench.experiments.comparison import Comparison, compare, compute_interval
from bench.experiments.runner import read_outcomes, run_all
from bench.experiments.runs import Outcome, Run, decode_report
from bench.experiments.variants import draw_variant, write_variant

__all__ = [
    "Comparison",
    "Outcome",
    "Run",
    "compare",
    "decode_report",
    "draw_variant",
    "compute_interval",
    "run_all",
    "read_outcomes",
    "write_variant",
]
