"""Comparison of schemes to share executor slots among instances, on virtual time.

*owner*: the owner of an executor admits each request, one or two hops away.
*credits*: owners lend single slots to entry instances, which use them without a hop and
return idle ones on request. *static*: each entry instance has a fixed share of the
slots.

All three keep every executor within its slots. They differ in latency, in slot
utilization and in their behaviour under skewed load.

Run with ``python -m bench.slots``.
"""

import argparse
import heapq
import itertools
import math
from collections import deque
from collections.abc import Callable

import attrs
import numpy as np
from hdrh.histogram import HdrHistogram

ENTRIES = 9
DOMAINS = 3
SLOTS = 8
CALLER_DELAY_MS = 3.0
FAR_DELAY_MS = 1.0
NEAR_DELAY_MS = 0.1
RUN_MEDIAN_MS = 40.0
RUN_SIGMA = 0.5
DEADLINE_MS = 1_000.0
SUMMARY_INTERVAL_MS = 100.0
CREDIT_RETRY_MS = 20.0
MAX_OUTSTANDING_REQUESTS = 8
MAX_QUEUE = 64
SKEWED_SHARE = 0.4
US_PER_MS = 1000.0
WARM_UP_SHARE = 0.2
RUN_MEAN_MS = RUN_MEDIAN_MS * math.exp(RUN_SIGMA**2 / 2)


@attrs.define(kw_only=True, eq=False)
class Request:
    """A request: its entry instance, arrival time and run time."""

    entry: int
    arrived_ms: float
    run_ms: float


@attrs.define(kw_only=True, eq=False)
class Simulation:
    """Event queue on virtual time, network delays and statistics."""

    executors: int
    generator: np.random.Generator
    warm_up_ms: float
    now_ms: float = 0.0
    busy: list[int] = attrs.field(factory=list)
    high_water: int = 0
    busy_ms: float = 0.0
    completed: int = 0
    refused: int = 0
    messages: int = 0
    latencies: HdrHistogram = attrs.field(
        factory=lambda: HdrHistogram(1, 60_000_000, 3)
    )
    _events: list[tuple[float, int, Callable[[], None]]] = attrs.field(factory=list)
    _numbers: itertools.count = attrs.field(factory=itertools.count)

    def schedule(self, delay_ms: float, action: Callable[[], None]) -> None:
        """Schedule a call after a delay, in ms."""
        event = (self.now_ms + delay_ms, next(self._numbers), action)
        heapq.heappush(self._events, event)

    def run(self, until_ms: float) -> None:
        """Process events up to a virtual time, in ms."""
        while self._events and self._events[0][0] <= until_ms:
            self.now_ms, _, action = heapq.heappop(self._events)
            action()

    def send(self, source: int, target: int, action: Callable[[], None]) -> None:
        """Send a message between instances."""
        if source != target:
            self.messages += 1
        self.schedule(get_delay_ms(source, target), action)

    def execute(
        self,
        request: Request,
        executor: int,
        instance: int,
        release: Callable[[], None],
    ) -> None:
        """Run a request from an instance; call ``release`` when its slot is free."""
        to_ms = get_delay_ms(instance, executor)

        def start_run() -> None:
            self.busy[executor] += 1
            self.high_water = max(self.high_water, self.busy[executor])
            self.schedule(request.run_ms, end_run)

        def end_run() -> None:
            self.busy[executor] -= 1
            if self.now_ms > self.warm_up_ms:
                self.busy_ms += request.run_ms
            self.schedule(to_ms, release)
            return_ms = to_ms + get_delay_ms(instance, request.entry) + CALLER_DELAY_MS
            self.schedule(return_ms, record_answer)

        def record_answer() -> None:
            if request.arrived_ms < self.warm_up_ms:
                return
            self.completed += 1
            latency_ms = self.now_ms - request.arrived_ms + CALLER_DELAY_MS
            self.latencies.record_value(int(latency_ms * US_PER_MS))

        self.schedule(to_ms, start_run)

    def count_refusal(self, request: Request) -> None:
        """Count a refused request."""
        if request.arrived_ms >= self.warm_up_ms:
            self.refused += 1


def get_delay_ms(one: int, other: int) -> float:
    """Return the one-way delay between two machines, by their failure domains."""
    if one % DOMAINS == other % DOMAINS:
        return NEAR_DELAY_MS
    return FAR_DELAY_MS


@attrs.define(kw_only=True, eq=False)
class SlotQueue:
    """Slots that one instance hands out, and the requests that wait for them."""

    free: list[int]
    total: int
    waiting: deque[Request] = attrs.field(factory=deque)

    def must_refuse(self, simulation: Simulation, request: Request) -> bool:
        """Return whether a request is unlikely to start before its deadline."""
        if len(self.waiting) >= MAX_QUEUE:
            return True
        wait_ms = (len(self.waiting) + 1) * RUN_MEAN_MS / max(1, self.total)
        return simulation.now_ms + wait_ms > request.arrived_ms + DEADLINE_MS


def admit(
    simulation: Simulation, queue: SlotQueue, request: Request, instance: int
) -> None:
    """Start, queue or refuse a request at an instance."""
    if queue.free:
        start(simulation, queue, request, instance)
    elif queue.must_refuse(simulation, request):
        simulation.count_refusal(request)
    else:
        queue.waiting.append(request)


def start(
    simulation: Simulation, queue: SlotQueue, request: Request, instance: int
) -> None:
    """Start a request on a free slot."""
    executor = queue.free.pop()

    def release() -> None:
        queue.free.append(executor)
        if queue.waiting:
            start(simulation, queue, queue.waiting.popleft(), instance)

    simulation.execute(request, executor, instance, release)


def divide_slots(simulation: Simulation, by_slot: bool) -> list[SlotQueue]:
    """Assign whole executors or single slots to instances round-robin.

    Whole executors are assigned in groups of three, one from each failure domain, so
    that shares are as uneven as with hashing: with 24 executors one instance owns none.
    """
    shares: list[list[int]] = [[] for _ in range(ENTRIES)]
    for number in range(simulation.executors * SLOTS):
        executor = number // SLOTS
        owner = (number if by_slot else executor // DOMAINS) % ENTRIES
        shares[owner].append(executor)
    return [SlotQueue(free=list(share), total=len(share)) for share in shares]


def build_static(simulation: Simulation) -> Callable[[Request], None]:
    """Build the scheme in which each entry instance uses only its own slots."""
    queues = divide_slots(simulation, by_slot=True)

    def arrive(request: Request) -> None:
        admit(simulation, queues[request.entry], request, request.entry)

    return arrive


def build_owner(simulation: Simulation) -> Callable[[Request], None]:
    """Build the scheme in which owners of executors admit requests.

    The owner of the key admits a request if it has a free slot. Otherwise it forwards
    it to the less loaded of two random executor owners, by their load summaries, if
    that one is less loaded than itself.
    """
    queues = divide_slots(simulation, by_slot=False)
    known_loads: list[list[float]] = [[] for _ in range(ENTRIES)]

    def get_load(queue: SlotQueue) -> float:
        """Return the number of running and waiting requests per slot."""
        used = queue.total - len(queue.free) + len(queue.waiting)
        return used / queue.total if queue.total else math.inf

    def broadcast_loads() -> None:
        loads = [get_load(queue) for queue in queues]
        for number in range(ENTRIES):
            known_loads[number] = list(loads)
        simulation.messages += ENTRIES * (ENTRIES - 1)
        simulation.schedule(SUMMARY_INTERVAL_MS, broadcast_loads)

    def choose(key_owner: int) -> int:
        own = queues[key_owner]
        if own.free:
            return key_owner
        loads = known_loads[key_owner]
        drawn = simulation.generator.choice(simulation.executors, size=2, replace=False)
        owners = [int(each) // DOMAINS % ENTRIES for each in drawn]
        best = min(owners, key=lambda each: loads[each])
        if loads[best] >= get_load(own):
            return key_owner
        loads[best] += 1 / queues[best].total
        return best

    def arrive(request: Request) -> None:
        key_owner = int(simulation.generator.integers(ENTRIES))
        simulation.send(
            request.entry, key_owner, lambda: coordinate(request, key_owner)
        )

    def coordinate(request: Request, key_owner: int) -> None:
        target = choose(key_owner)
        simulation.send(
            key_owner,
            target,
            lambda: admit(simulation, queues[target], request, target),
        )

    broadcast_loads()
    return arrive


def build_credits(simulation: Simulation) -> Callable[[Request], None]:
    """Build the scheme in which entry instances borrow idle slots from each other."""
    queues = divide_slots(simulation, by_slot=True)
    outstanding = [0] * ENTRIES

    def arrive(request: Request) -> None:
        queue = queues[request.entry]
        admit(simulation, queue, request, request.entry)
        request_slot(request.entry)

    def request_slot(entry: int) -> None:
        queue = queues[entry]
        if (
            len(queue.waiting) <= outstanding[entry]
            or outstanding[entry] >= MAX_OUTSTANDING_REQUESTS
        ):
            return
        # The owner of a random executor knows the holders of its slots and asks one.
        outstanding[entry] += 1
        owner = int(simulation.generator.integers(ENTRIES))
        lender = int(simulation.generator.integers(ENTRIES))
        simulation.send(entry, owner, lambda: forward_request(entry, owner, lender))

    def forward_request(entry: int, owner: int, lender: int) -> None:
        simulation.send(owner, lender, lambda: lend_slot(entry, owner, lender))

    def lend_slot(entry: int, owner: int, lender: int) -> None:
        queue = queues[lender]
        executor = queue.free.pop() if queue.free else None
        if executor is not None:
            queue.total -= 1
        simulation.send(
            lender,
            owner,
            lambda: simulation.send(
                owner, entry, lambda: receive_reply(entry, executor)
            ),
        )

    def receive_reply(entry: int, executor: int | None) -> None:
        queue = queues[entry]
        outstanding[entry] -= 1
        if executor is not None:
            queue.total += 1
            queue.free.append(executor)
            if queue.waiting:
                start(simulation, queue, queue.waiting.popleft(), entry)
            return
        simulation.schedule(CREDIT_RETRY_MS, lambda: request_slot(entry))

    return arrive


SCHEMES: dict[str, Callable[[Simulation], Callable[[Request], None]]] = {
    "owner": build_owner,
    "credits": build_credits,
    "static": build_static,
}


def generate_requests(
    simulation: Simulation,
    arrive: Callable[[Request], None],
    load: float,
    is_skewed: bool,
) -> None:
    """Generate requests as a Poisson process, distributed by a load balancer."""
    gap_ms = RUN_MEAN_MS / (simulation.executors * SLOTS * load)
    remaining_share = (1 - SKEWED_SHARE) / (ENTRIES - 1)
    shares = [SKEWED_SHARE] + [remaining_share] * (ENTRIES - 1)
    bounds = np.cumsum(shares if is_skewed else [1 / ENTRIES] * ENTRIES)
    generator = simulation.generator

    def generate_next() -> None:
        entry = int(np.searchsorted(bounds, generator.random() * bounds[-1]))
        request = Request(
            entry=entry,
            arrived_ms=simulation.now_ms,
            run_ms=float(generator.lognormal(math.log(RUN_MEDIAN_MS), RUN_SIGMA)),
        )
        arrive(request)
        simulation.schedule(float(generator.exponential(gap_ms)), generate_next)

    generate_next()


def simulate(
    scheme: str,
    *,
    executors: int,
    load: float,
    is_skewed: bool,
    run_ms: float,
    seed: int,
) -> Simulation:
    """Simulate a scheme."""
    simulation = Simulation(
        executors=executors,
        generator=np.random.default_rng(seed),
        warm_up_ms=run_ms * WARM_UP_SHARE,
        busy=[0] * executors,
    )
    generate_requests(simulation, SCHEMES[scheme](simulation), load, is_skewed)
    simulation.run(run_ms)
    return simulation


def format_row(simulation: Simulation, run_ms: float) -> str:
    """Format a row of the table."""
    measured_ms = run_ms - simulation.warm_up_ms
    capacity_ms = simulation.executors * SLOTS * measured_ms
    offered = simulation.completed + simulation.refused
    quantiles = [
        simulation.latencies.get_value_at_percentile(p) for p in (50, 99, 99.9)
    ]
    latencies = " | ".join(f"{each / US_PER_MS:.0f}" for each in quantiles)
    return (
        f"{latencies} | {100 * simulation.busy_ms / capacity_ms:.0f} | "
        f"{100 * simulation.refused / max(1, offered):.1f} | {simulation.high_water} | "
        f"{simulation.messages / max(1, offered):.1f}"
    )


def main() -> None:
    """Print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    run_ms = options.seconds * US_PER_MS
    print(
        "| executors | callers | load | way | p50 ms | p99 ms | p99.9 ms "
        "| used % | refused % | most at one | messages |"
    )
    print("|" + "---|" * 11)
    cases = itertools.product((24, 33), (False, True), (0.5, 0.8, 0.95, 1.2), SCHEMES)
    for executors, is_skewed, load, scheme in cases:
        simulation = simulate(
            scheme,
            executors=executors,
            load=load,
            is_skewed=is_skewed,
            run_ms=run_ms,
            seed=options.seed,
        )
        callers = "skewed" if is_skewed else "even"
        row = format_row(simulation, run_ms)
        print(f"| {executors} | {callers} | {load} | {scheme} | {row} |", flush=True)


if __name__ == "__main__":
    main()
