"""Closed-loop load generator, in this process or in a separate one.

Run as ``python -m bench.callers SETTINGS``, with `LoadSettings` as JSON; prints the
`LoadResult` as JSON. The result contains every latency, so that the results of several
processes can be merged.
"""

import json
import random
import sys
import time
from collections import Counter

import attrs
import trio

from trefoilhook.clock import build_system_clock
from trefoilhook.demo import EntryClient
from trefoilhook.exceptions import TransportError
from trefoilhook.requests import format_key, generate_key
from trefoilhook.requests.keys import compute_key_shard

__all__ = ["LoadSettings", "LoadResult", "format_key", "run_callers"]


@attrs.frozen(kw_only=True)
class LoadSettings:
    """Settings of the load generator.

    Parameters
    ----------
    port : int
        Entry port of the instance.
    token, team, service : str
        Token, team and service of the requests.
    callers : int
        Number of concurrent callers.
    duration_s : float
        Duration of the measurement, in s.
    warm_up_s : float
        Duration of the load before the measurement, in s.
    think_ms : float
        Mean pause of a caller between requests, in ms.
    shards : list of str
        Shards to which keys are restricted; empty for no restriction.
    shard_count : int
        Number of request shards.
    """

    port: int
    token: str
    team: str
    service: str
    callers: int
    duration_s: float
    warm_up_s: float = 1.0
    think_ms: float = 0.0
    shards: list[str] = attrs.field(factory=list)
    shard_count: int = 64


@attrs.frozen(kw_only=True)
class LoadResult:
    """Result of the load generator.

    Parameters
    ----------
    latencies_ms : list of float
        Latency of each request answered with OK.
    codes : dict of str to int
        Number of answers by result code or transport error.
    elapsed_s : float
        Actual duration of the measurement, in s.
    """

    latencies_ms: list[float]
    codes: dict[str, int]
    elapsed_s: float


def _generate_key_in_shards(settings: LoadSettings) -> str:
    shards = set(settings.shards)
    while True:
        key = generate_key()
        if not shards:
            return format_key(key)
        if compute_key_shard(key, shard_count=settings.shard_count) in shards:
            return format_key(key)


async def run_callers(settings: LoadSettings) -> LoadResult:
    """Generate load; only answers received after the warm-up are counted."""
    client = EntryClient(
        port=settings.port, token=settings.token, clock=build_system_clock()
    )
    latencies_ms: list[float] = []
    codes: Counter[str] = Counter()
    is_measuring = False

    async def call_repeatedly() -> None:
        while True:
            key = _generate_key_in_shards(settings)
            try:
                answer = await client.send(
                    settings.team, settings.service, b"seat", key=key, timeout_ms=5_000
                )
                name = answer.code.name
            except TransportError as error:
                name = type(error).__name__
            if is_measuring:
                codes[name] += 1
                if name == "OK":
                    latencies_ms.append(answer.latency_ms)
            if settings.think_ms:
                await trio.sleep(random.expovariate(1000.0 / settings.think_ms))

    async with trio.open_nursery() as nursery:
        for _ in range(settings.callers):
            nursery.start_soon(call_repeatedly)
        await trio.sleep(settings.warm_up_s)
        is_measuring = True
        started = time.perf_counter()
        await trio.sleep(settings.duration_s)
        elapsed_s = time.perf_counter() - started
        nursery.cancel_scope.cancel()
    return LoadResult(latencies_ms=latencies_ms, codes=dict(codes), elapsed_s=elapsed_s)


def main() -> None:
    """Generate load with the given settings and print the result."""
    settings = LoadSettings(**json.loads(sys.argv[1]))
    print(json.dumps(attrs.asdict(trio.run(run_callers, settings))))


if __name__ == "__main__":
    main()
