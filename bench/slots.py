"""Three ways to share executors' slots among entry instances, on virtual time.

*owner*: the owner of an executor admits each request, one or two hops away.
*credits*: owners lend single slots to entries, which use them without a hop and give
idle ones back when asked. *static*: each entry has a fixed share of the slots.

All three keep every executor within its slots; they differ in latency, in the share
of the slots that can be used, and in what they do when callers come unevenly. Run with
``python -m bench.slots``.
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
SUMMARY_MS = 100.0
IDLE_CREDIT_MS = 20.0
MOST_ASKS = 8
MAX_QUEUE = 64
SKEWED_SHARE = 0.4
US_PER_MS = 1000.0
WARM_UP_SHARE = 0.2
RUN_MEAN_MS = RUN_MEDIAN_MS * math.exp(RUN_SIGMA**2 / 2)


@attrs.define(kw_only=True, eq=False)
class Request:
    """One request: where it came in, when, and how long it runs."""

    entry: int
    arrived_ms: float
    run_ms: float


@attrs.define(kw_only=True, eq=False)
class World:
    """Virtual time, delays and what is counted."""

    executors: int
    generator: np.random.Generator
    warm_up_ms: float
    now_ms: float = 0.0
    busy: list[int] = attrs.field(factory=list)
    high_water: int = 0
    busy_ms: float = 0.0
    done: int = 0
    refused: int = 0
    messages: int = 0
    latencies: HdrHistogram = attrs.field(
        factory=lambda: HdrHistogram(1, 60_000_000, 3)
    )
    _events: list[tuple[float, int, Callable[[], None]]] = attrs.field(factory=list)
    _numbers: itertools.count = attrs.field(factory=itertools.count)

    def after(self, delay_ms: float, action: Callable[[], None]) -> None:
        """Do something later."""
        event = (self.now_ms + delay_ms, next(self._numbers), action)
        heapq.heappush(self._events, event)

    def run(self, until_ms: float) -> None:
        """Let time pass."""
        while self._events and self._events[0][0] <= until_ms:
            self.now_ms, _, action = heapq.heappop(self._events)
            action()

    def hop(self, source: int, target: int, action: Callable[[], None]) -> None:
        """Send a message between instances."""
        if source != target:
            self.messages += 1
        self.after(get_delay_ms(source, target), action)

    def execute(
        self, request: Request, executor: int, back: int, release: Callable[[], None]
    ) -> None:
        """Run a request from instance ``back``; its slot is free at ``release``."""
        to_ms = get_delay_ms(back, executor)

        def begin() -> None:
            self.busy[executor] += 1
            self.high_water = max(self.high_water, self.busy[executor])
            self.after(request.run_ms, end)

        def end() -> None:
            self.busy[executor] -= 1
            if self.now_ms > self.warm_up_ms:
                self.busy_ms += request.run_ms
            self.after(to_ms, release)
            home_ms = to_ms + get_delay_ms(back, request.entry) + CALLER_DELAY_MS
            self.after(home_ms, answer)

        def answer() -> None:
            if request.arrived_ms < self.warm_up_ms:
                return
            self.done += 1
            latency_ms = self.now_ms - request.arrived_ms + CALLER_DELAY_MS
            self.latencies.record_value(int(latency_ms * US_PER_MS))

        self.after(to_ms, begin)

    def refuse(self, request: Request) -> None:
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

    def must_refuse(self, world: World, request: Request) -> bool:
        """Tell whether a request could not start before its deadline."""
        if len(self.waiting) >= MAX_QUEUE:
            return True
        wait_ms = (len(self.waiting) + 1) * RUN_MEAN_MS / max(1, self.total)
        return world.now_ms + wait_ms > request.arrived_ms + DEADLINE_MS


def admit(world: World, queue: SlotQueue, request: Request, instance: int) -> None:
    """Start a request at an instance, or let it wait there, or refuse it."""
    if queue.free:
        start(world, queue, request, instance)
    elif queue.must_refuse(world, request):
        world.refuse(request)
    else:
        queue.waiting.append(request)


def start(world: World, queue: SlotQueue, request: Request, instance: int) -> None:
    """Use a free slot."""
    executor = queue.free.pop()

    def release() -> None:
        queue.free.append(executor)
        if queue.waiting:
            start(world, queue, queue.waiting.popleft(), instance)

    world.execute(request, executor, instance, release)


def share_out(world: World, by_slot: bool) -> list[SlotQueue]:
    """Give each instance whole executors, or single slots in turn.

    Whole executors go in threes from all failure domains, so that the shares are as
    uneven as hashing makes them: at 24 executors one instance owns none.
    """
    shares: list[list[int]] = [[] for _ in range(ENTRIES)]
    for number in range(world.executors * SLOTS):
        executor = number // SLOTS
        owner = (number if by_slot else executor // DOMAINS) % ENTRIES
        shares[owner].append(executor)
    return [SlotQueue(free=list(share), total=len(share)) for share in shares]


def build_static(world: World) -> Callable[[Request], None]:
    """Each entry uses its own share of the slots only."""
    queues = share_out(world, by_slot=True)

    def arrive(request: Request) -> None:
        admit(world, queues[request.entry], request, request.entry)

    return arrive


def build_owner(world: World) -> Callable[[Request], None]:
    """Key's owner, then the freer of two executors' owners by their summaries."""
    queues = share_out(world, by_slot=False)
    seen: list[list[float]] = [[] for _ in range(ENTRIES)]

    def get_load(queue: SlotQueue) -> float:
        """Return the requests for each slot, in use and waiting."""
        used = queue.total - len(queue.free) + len(queue.waiting)
        return used / queue.total if queue.total else math.inf

    def tell() -> None:
        loads = [get_load(queue) for queue in queues]
        for number in range(ENTRIES):
            seen[number] = list(loads)
        world.messages += ENTRIES * (ENTRIES - 1)
        world.after(SUMMARY_MS, tell)

    def choose(key_owner: int) -> int:
        own = queues[key_owner]
        if own.free:
            return key_owner
        loads = seen[key_owner]
        drawn = world.generator.choice(world.executors, size=2, replace=False)
        owners = [int(each) // DOMAINS % ENTRIES for each in drawn]
        best = min(owners, key=lambda each: loads[each])
        if loads[best] >= get_load(own):
            return key_owner
        loads[best] += 1 / queues[best].total
        return best

    def arrive(request: Request) -> None:
        key_owner = int(world.generator.integers(ENTRIES))
        world.hop(request.entry, key_owner, lambda: coordinate(request, key_owner))

    def coordinate(request: Request, key_owner: int) -> None:
        target = choose(key_owner)
        world.hop(
            key_owner,
            target,
            lambda: admit(world, queues[target], request, target),
        )

    tell()
    return arrive


def build_credits(world: World) -> Callable[[Request], None]:
    """Owners lend slots to entries; an entry in want asks for idle ones."""
    queues = share_out(world, by_slot=True)
    asking = [0] * ENTRIES

    def arrive(request: Request) -> None:
        queue = queues[request.entry]
        admit(world, queue, request, request.entry)
        want(request.entry)

    def want(entry: int) -> None:
        queue = queues[entry]
        if len(queue.waiting) <= asking[entry] or asking[entry] >= MOST_ASKS:
            return
        # The owner of a random executor knows who holds its slots, and asks one.
        asking[entry] += 1
        owner = int(world.generator.integers(ENTRIES))
        lender = int(world.generator.integers(ENTRIES))
        world.hop(entry, owner, lambda: ask(entry, owner, lender))

    def ask(entry: int, owner: int, lender: int) -> None:
        world.hop(owner, lender, lambda: lend(entry, owner, lender))

    def lend(entry: int, owner: int, lender: int) -> None:
        queue = queues[lender]
        executor = queue.free.pop() if queue.free else None
        if executor is not None:
            queue.total -= 1
        world.hop(
            lender,
            owner,
            lambda: world.hop(owner, entry, lambda: receive(entry, executor)),
        )

    def receive(entry: int, executor: int | None) -> None:
        queue = queues[entry]
        asking[entry] -= 1
        if executor is not None:
            queue.total += 1
            queue.free.append(executor)
            if queue.waiting:
                start(world, queue, queue.waiting.popleft(), entry)
            return
        world.after(IDLE_CREDIT_MS, lambda: want(entry))

    return arrive


WAYS: dict[str, Callable[[World], Callable[[Request], None]]] = {
    "owner": build_owner,
    "credits": build_credits,
    "static": build_static,
}


def feed(
    world: World, arrive: Callable[[Request], None], load: float, is_skewed: bool
) -> None:
    """Let callers come as a Poisson process through the balancer."""
    gap_ms = RUN_MEAN_MS / (world.executors * SLOTS * load)
    rest = (1 - SKEWED_SHARE) / (ENTRIES - 1)
    shares = [SKEWED_SHARE] + [rest] * (ENTRIES - 1)
    bounds = np.cumsum(shares if is_skewed else [1 / ENTRIES] * ENTRIES)
    generator = world.generator

    def come() -> None:
        entry = int(np.searchsorted(bounds, generator.random() * bounds[-1]))
        request = Request(
            entry=entry,
            arrived_ms=world.now_ms,
            run_ms=float(generator.lognormal(math.log(RUN_MEDIAN_MS), RUN_SIGMA)),
        )
        arrive(request)
        world.after(float(generator.exponential(gap_ms)), come)

    come()


def measure(
    way: str, *, executors: int, load: float, is_skewed: bool, run_ms: float, seed: int
) -> World:
    """Run one way once."""
    world = World(
        executors=executors,
        generator=np.random.default_rng(seed),
        warm_up_ms=run_ms * WARM_UP_SHARE,
        busy=[0] * executors,
    )
    feed(world, WAYS[way](world), load, is_skewed)
    world.run(run_ms)
    return world


def describe(world: World, run_ms: float) -> str:
    """Return one row of the table."""
    measured_ms = run_ms - world.warm_up_ms
    capacity_ms = world.executors * SLOTS * measured_ms
    offered = world.done + world.refused
    ranks = [world.latencies.get_value_at_percentile(p) for p in (50, 99, 99.9)]
    latencies = " | ".join(f"{each / US_PER_MS:.0f}" for each in ranks)
    return (
        f"{latencies} | {100 * world.busy_ms / capacity_ms:.0f} | "
        f"{100 * world.refused / max(1, offered):.1f} | {world.high_water} | "
        f"{world.messages / max(1, offered):.1f}"
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
    cases = itertools.product((24, 33), (False, True), (0.5, 0.8, 0.95, 1.2), WAYS)
    for executors, is_skewed, load, way in cases:
        world = measure(
            way,
            executors=executors,
            load=load,
            is_skewed=is_skewed,
            run_ms=run_ms,
            seed=options.seed,
        )
        callers = "skewed" if is_skewed else "even"
        row = describe(world, run_ms)
        print(f"| {executors} | {callers} | {load} | {way} | {row} |", flush=True)


if __name__ == "__main__":
    main()
