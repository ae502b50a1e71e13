"""Run versions of the code on the same days and compare their outcomes.

Each version is a separate checkout. Outcomes are stored in a file, so that a later call
with more versions or seeds runs only the missing ones.
"""

import argparse
import itertools
import pathlib
from collections.abc import Sequence

from bench.experiments.comparison import compare
from bench.experiments.page import build_table, draw_plot
from bench.experiments.runner import Simulator, read_outcomes, run_all
from bench.experiments.runs import Run
from bench.experiments.variants import write_variant

__all__ = ["main"]


def _build_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("file", type=pathlib.Path, help="where outcomes are kept")
    parser.add_argument("--player", type=pathlib.Path, help="program that plays days")
    parser.add_argument("--site", type=pathlib.Path, action="append", default=[])
    parser.add_argument(
        "--version", action="append", default=[], metavar="NAME=CHECKOUT"
    )
    parser.add_argument("--day", action="append", default=[])
    parser.add_argument(
        "--seed", type=int, action="append", default=[], help="none: the day's own"
    )
    parser.add_argument("--vary", action="store_true", help="draw the faults anew")
    parser.add_argument(
        "--variant", type=int, action="append", default=[], help="seed of a variant"
    )
    parser.add_argument(
        "--folder", type=pathlib.Path, help="where variants are written"
    )
    parser.add_argument("--processes", type=int, default=4)
    parser.add_argument("--no-cpu", action="store_true")
    parser.add_argument("--why", default="an experiment")
    parser.add_argument("--base", help="version that the others are compared with")
    parser.add_argument("--plot", type=pathlib.Path)
    return parser


def _list_sites(arguments: argparse.Namespace) -> list[tuple[str, pathlib.Path]]:
    """Return the name and file of each deployment, or of its variants if requested."""
    if not arguments.variant:
        return [(site.stem, site) for site in arguments.site]
    return [
        (f"{site.stem}-{seed}", write_variant(site, seed, arguments.folder))
        for site in arguments.site
        for seed in arguments.variant
    ]


def _list_runs(arguments: argparse.Namespace) -> list[Run]:
    versions = [text.partition("=") for text in arguments.version]
    # The version varies fastest, so that versions run under a similar machine load.
    return [
        Run(
            version=version,
            checkout=pathlib.Path(checkout),
            deployment=deployment,
            site=site.resolve(),
            day=day,
            seed=seed,
            varied=arguments.vary,
        )
        for (deployment, site), day, seed, (version, _, checkout) in itertools.product(
            _list_sites(arguments), arguments.day, arguments.seed or [None], versions
        )
    ]


def main(arguments: Sequence[str] | None = None) -> None:
    """Execute missing runs and print the comparison."""
    parsed = _build_parser().parse_args(arguments)
    if parsed.player is not None:
        simulator = Simulator(
            program=parsed.player.resolve(),
            reason=parsed.why,
            ignores_cpu_time=parsed.no_cpu,
        )
        run_all(
            _list_runs(parsed),
            simulator=simulator,
            path=parsed.file,
            processes=parsed.processes,
            report_progress=lambda line: print(line, flush=True),
        )
    outcomes = read_outcomes(parsed.file)
    if not outcomes:
        return
    rows = compare(outcomes, base=parsed.base or outcomes[0].version)
    print(build_table(rows))
    if parsed.plot is not None:
        draw_plot(rows, parsed.plot)


if __name__ == "__main__":
    main()
