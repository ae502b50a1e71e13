"""Takeover time of the shards of a killed instance, and lost or repeated requests.

Run from the root of the repository: ``python -m bench.takeover``. Three instances run
as processes. Callers send requests through the two that stay, with keys in the shards
of the one that is killed. Executors run in the benchmark's process and record how often
each request was run.
"""

import signal
import time
from collections import Counter

import attrs
import numpy as np
import trio

from trefoilhook.daemon.tests.processes import (
    TEAM,
    Daemon,
    ProcessCluster,
    format_key,
    run_processes,
)
from trefoilhook.exceptions import TransportError
from trefoilhook.requests import generate_key
from trefoilhook.requests.keys import compute_key_shard
from trefoilhook.results import Outcome, ResultCode

_SERVICE = "seat-sale"
_ROUNDS = 3
_CALLERS = 3
_LOAD_BEFORE_KILL_S = 1.5
_LOAD_AFTER_KILL_S = 9.0
_CALLER_PAUSE_S = 0.02


@attrs.define(kw_only=True)
class _Sales:
    """Requests with keys in some shards, and the outcomes reported to their callers."""

    cluster: ProcessCluster
    shards: set[str]
    outcomes: dict[str, Outcome] = attrs.field(factory=dict)
    codes: Counter = attrs.field(factory=Counter)
    first_success_s: dict[str, float] = attrs.field(factory=dict)
    killed_at_s: float = float("inf")

    async def run(self, daemon: Daemon) -> None:
        """Send requests through one daemon until cancelled."""
        client = self.cluster.open_entry(daemon)
        count = self.cluster.platform.settings.requests.shard_count
        while True:
            key = generate_key()
            shard_id = compute_key_shard(key, shard_count=count)
            if shard_id not in self.shards:
                continue
            started_s = time.perf_counter()
            try:
                answer = await client.send(
                    TEAM, _SERVICE, b"seat", key=format_key(key), timeout_ms=1_500
                )
            except TransportError:
                self.codes["no answer"] += 1
                continue
            self.outcomes[key.hex()] = answer.code.outcome
            if started_s >= self.killed_at_s:
                self.codes[answer.code.name] += 1
                if answer.code is ResultCode.OK:
                    self.first_success_s.setdefault(shard_id, time.perf_counter())
            await trio.sleep(_CALLER_PAUSE_S)


async def _measure(cluster: ProcessCluster) -> None:
    gaps_s: list[float] = []
    lost = repeated = run_despite_refusal = 0
    codes: Counter = Counter()
    for _ in range(_ROUNDS):
        victim = cluster.daemons[0]
        status = await cluster.read_status(cluster.daemons[1])
        shards = {
            shard["shard_id"]
            for shard in status["shards"]
            if shard["owner_instance_id"] == victim.instance_id
            and shard["shard_id"].startswith("req-")
        }
        sales = _Sales(cluster=cluster, shards=shards)
        async with trio.open_nursery() as nursery:
            for daemon in cluster.daemons[1:]:
                for _ in range(_CALLERS):
                    nursery.start_soon(sales.run, daemon)
            await trio.sleep(_LOAD_BEFORE_KILL_S)
            victim.send_signal(signal.SIGKILL)
            sales.killed_at_s = time.perf_counter()
            await victim.process.wait()
            await trio.sleep(_LOAD_AFTER_KILL_S)
            nursery.cancel_scope.cancel()
        missing = shards - set(sales.first_success_s)
        gaps_s += [at - sales.killed_at_s for at in sales.first_success_s.values()]
        gaps_s += [float("inf")] * len(missing)
        codes += sales.codes
        executed = cluster.list_executed_requests(_SERVICE)
        outcomes = sales.outcomes.items()
        lost += sum(k not in executed for k, o in outcomes if o is Outcome.EXECUTED)
        run_despite_refusal += sum(
            k in executed for k, o in outcomes if o is Outcome.NOT_RUN
        )
        cluster.daemons.remove(victim)
        await cluster.add_daemon()
        await cluster.wait_settled()
    repeated = len(cluster.list_repeated_requests(_SERVICE))
    ttl_s = cluster.platform.settings.membership.lease_ttl_ms / 1000
    print(f"lease TTL {ttl_s:.1f} s, {_ROUNDS} owners killed, {len(gaps_s)} shards")
    print(
        f"served again after: p50 {np.median(gaps_s):.2f} s, most {max(gaps_s):.2f} s"
    )
    print(
        f"told OK and not run {lost}, run twice {repeated}, "
        f"told not run and run {run_despite_refusal}"
    )
    print("answers after the kill:", dict(codes))


if __name__ == "__main__":
    run_processes(_measure)
