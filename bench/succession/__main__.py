"""Simulates takeovers with silent workers, and the writes to record placements.

Run from the root of the repository: ``python -m bench.succession takeovers`` or
``python -m bench.succession writes SITE...``.
"""

import argparse
import resource
import statistics
import time

from bench.succession.built import place_in_product_group, take_over_by_product_rule
from bench.succession.strategies import STRATEGIES
from bench.succession.takeover import Silence, TakeoverOutcome, take_over
from bench.succession.world import DOMAINS, build_world, list_silent
from bench.succession.writes import print_writes

_PRODUCT_RULE = "as built"
_SILENT_CASES = ("none", "one", "1 %", "domain")
_PROMPT_MS = 300.0
_SILENCES = {
    "cut off": Silence(ends_ms=24_000.0),
    "crashed": Silence(unlisted_ms=4500.0),
}
_UNRECORDED = 0.05
"""Fraction of the tasks started without a record while the store is unavailable, for
strategies that permit it."""


def _quantile(values: list[float], share: float) -> float:
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def _print_row(
    size: int, silent: str, strategy: str, outcomes: list[TakeoverOutcome]
) -> None:
    def median(values: list[float]) -> float:
        return statistics.median(values)

    quantiles = [
        median([_quantile(o.due_ms, share) for o in outcomes])
        for share in (0.5, 0.95, 1.0)
    ]
    prompt = [
        sum(at_ms <= o.loaded_ms + _PROMPT_MS for at_ms in o.due_ms) / len(o.due_ms)
        for o in outcomes
    ]
    held = [
        sum(held_ms > 0 for held_ms in o.later_ms) / max(1, len(o.later_ms))
        for o in outcomes
    ]
    columns = [
        f"{size:,}",
        silent,
        strategy,
        *(f"{at_ms:,.0f}" for at_ms in quantiles),
        f"{100 * median(prompt):.0f}",
        f"{100 * median(held):.0f}",
        f"{median([o.calls for o in outcomes]):,.0f}",
        f"{median([o.read_bytes for o in outcomes]) / 1000:,.0f}",
        f"{median([o.record_bytes for o in outcomes]) / 1000:,.0f}",
        f"{sum(o.unsafe for o in outcomes)}",
        f"{median([o.longest_round_cpu_ms for o in outcomes]):,.1f}",
    ]
    print("| " + " | ".join(columns) + " |", flush=True)


def _simulate_takeover(
    name: str, size: int, seed: int, silent_case: str, silence: Silence
) -> TakeoverOutcome:
    """Simulate one takeover by a strategy or by the rule of the product."""
    strategy = STRATEGIES[name](size) if name != _PRODUCT_RULE else None
    world = build_world(
        size,
        seed,
        place=strategy.place if strategy is not None else None,
        place_unrecorded=strategy.place_unrecorded
        if strategy is not None
        else place_in_product_group(size),
        unrecorded=_UNRECORDED,
    )
    silent = list_silent(world, seed, silent_case)
    if strategy is None:
        return take_over_by_product_rule(
            world, silent=silent, silence=silence, seed=seed
        )
    return take_over(world, strategy, silent=silent, silence=silence, seed=seed)


def _measure_takeovers(
    sizes: list[int], seeds: int, kind: str, ways: list[str]
) -> None:
    silence = _SILENCES[kind]
    print(f"Silent workers: {kind}. Seeds 1 to {seeds}.\n")
    print(
        "| workers | silent | way | 50 % ms | 95 % ms | 100 % ms | in 300 ms, % | "
        "later steps held, % | calls | KB read | KB of places | unsafe | CPU ms |"
    )
    print("|" + "---|" * 13)
    for size in sizes:
        started_s = time.monotonic()
        for silent_case in _SILENT_CASES:
            if silent_case == "1 %" and size < 100:
                continue
            for name in ways:
                outcomes = [
                    _simulate_takeover(name, size, seed, silent_case, silence)
                    for seed in range(1, seeds + 1)
                ]
                _print_row(size, silent_case, name, outcomes)
        peak_mb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
        elapsed_s = time.monotonic() - started_s
        print(f"<!-- {size}: {elapsed_s:.0f} s, peak {peak_mb:.0f} MB -->")


def main() -> None:
    """Print the tables."""
    parser = argparse.ArgumentParser(description=__doc__)
    commands = parser.add_subparsers(dest="command", required=True)
    takeovers = commands.add_parser("takeovers")
    takeovers.add_argument("--sizes", type=int, nargs="+", default=sorted(DOMAINS))
    takeovers.add_argument("--seeds", type=int, default=5)
    takeovers.add_argument("--kind", choices=sorted(_SILENCES), default="cut off")
    ways = (*STRATEGIES, _PRODUCT_RULE)
    takeovers.add_argument("--ways", nargs="+", choices=ways, default=ways)
    writes = commands.add_parser("writes")
    writes.add_argument("sites", nargs="+")
    writes.add_argument("--seed", type=int, default=1)
    writes.add_argument("--overlapping", action="store_true")
    arguments = parser.parse_args()
    if arguments.command == "takeovers":
        _measure_takeovers(
            arguments.sizes, arguments.seeds, arguments.kind, arguments.ways
        )
    else:
        print_writes(arguments.sites, arguments.seed, overlapping=arguments.overlapping)


if __name__ == "__main__":
    main()
