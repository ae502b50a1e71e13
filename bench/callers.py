"""Callers in a closed loop, in this process or in one of their own.

Run as ``python -m bench.callers ORDER``, with the order as JSON; prints the result as
JSON. The result holds every latency, so that several processes can be joined.
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
from trefoilhook.requests import format_key, mint_key
from trefoilhook.requests.keys import compute_key_shard

__all__ = ["Order", "Outcome", "format_key", "run_callers"]


@attrs.frozen(kw_only=True)
class Order:
    """What the callers do.

    Parameters
    ----------
    port : int
        Entry port.
    token, team, service : str
        What they call.
    callers : int
        Requests in flight.
    duration_s : float
        How long they measure.
    warm_up_s : float
        How long they send before.
    think_ms : float
        Mean pause of a caller between two requests, in ms.
    shards : list of str
        Only keys of these shards; empty for any.
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
class Outcome:
    """What the callers saw.

    Parameters
    ----------
    latencies_ms : list of float
        Of each request answered OK.
    codes : dict of str to int
        Answers by result code.
    elapsed_s : float
        How long was measured.
    """

    latencies_ms: list[float]
    codes: dict[str, int]
    elapsed_s: float


def _mint(order: Order) -> str:
    wanted = set(order.shards)
    while True:
        key = mint_key()
        if not wanted:
            return format_key(key)
        if compute_key_shard(key, shard_count=order.shard_count) in wanted:
            return format_key(key)


async def run_callers(order: Order) -> Outcome:
    """Send as ordered; what is answered after the warm-up counts."""
    client = EntryClient(port=order.port, token=order.token, clock=build_system_clock())
    latencies_ms: list[float] = []
    codes: Counter[str] = Counter()
    is_measuring = False

    async def call_repeatedly() -> None:
        while True:
            key = _mint(order)
            try:
                answer = await client.send(
                    order.team, order.service, b"seat", key=key, timeout_ms=5_000
                )
                name = answer.code.name
            except TransportError as error:
                name = type(error).__name__
            if is_measuring:
                codes[name] += 1
                if name == "OK":
                    latencies_ms.append(answer.latency_ms)
            if order.think_ms:
                await trio.sleep(random.expovariate(1000.0 / order.think_ms))

    async with trio.open_nursery() as nursery:
        for _ in range(order.callers):
            nursery.start_soon(call_repeatedly)
        await trio.sleep(order.warm_up_s)
        is_measuring = True
        started = time.perf_counter()
        await trio.sleep(order.duration_s)
        elapsed_s = time.perf_counter() - started
        nursery.cancel_scope.cancel()
    return Outcome(latencies_ms=latencies_ms, codes=dict(codes), elapsed_s=elapsed_s)


def main() -> None:
    """Run one order and print the result."""
    order = Order(**json.loads(sys.argv[1]))
    print(json.dumps(attrs.asdict(trio.run(run_callers, order))))


if __name__ == "__main__":
    main()
