"""Configuration and idempotency keys: memory and processor time."""

import importlib
import multiprocessing
import pathlib
import tracemalloc

import attrs

from bench.capacity.fit import Slope, fit_line, time_call
from trefoilhook.configuration import (
    ConfigurationView,
    TeamDocument,
    build_team_key,
    encode_document,
)
from trefoilhook.configuration.document import StoredChange
from trefoilhook.logs import configure_logs
from trefoilhook.membership import Mirror, MirrorEntry
from trefoilhook.requests import CallerAnswer
from trefoilhook.requests.dedup import ActingWindow, KeyTable
from trefoilhook.requests.keys import mint_key, read_minted_ms
from trefoilhook.results import ResultCode

__all__ = ["measure_configuration", "measure_keys"]

TEAMS = (100, 200, 400, 800)
CHANGES = (0, 10, 25, 50)
KEYS = (1_000, 5_000, 25_000)
_SERVICES = 4
_BODY = bytes(200)
_FULL_HISTORY = 50
_ROOT = "root"
_PROGRAM = ("trefoilhook.daemon", "trefoilhook.entry", "trefoilhook.admin")
_TEAMS_LOADED = (0, 400, 800)
_KB = 1024


def build_team_value(*, changes: int, timeout_ms: int = 1_000) -> bytes:
    """Build a team's value: four services, a quota, and a history."""
    services = {
        f"service-{number}": {
            "timeout_ms": timeout_ms,
            "max_queue": 128,
            "run_ms": 20,
            "objective": {"latency_ms": 200},
        }
        for number in range(_SERVICES)
    }
    history = tuple(
        StoredChange(
            previous_revision=1_000_000 + number,
            nonce=f"{number:024x}",
            author="operator:night-desk",
            at_ms=1.75e12 + number,
            action="set",
            path=f"services/service-{number % _SERVICES}/timeout_ms",
        )
        for number in range(changes)
    )
    subtree = {"services": services}
    return encode_document(TeamDocument(subtree=subtree, changes=history))


def _build_entries(teams):
    value = build_team_value(changes=_FULL_HISTORY)
    return [
        MirrorEntry(
            key=build_team_key(_ROOT, f"team-{number:04d}"),
            value=bytes(bytearray(value)),
            revision=number + 1,
        )
        for number in range(teams)
    ]


def _measure_team_bytes(teams):
    tracemalloc.start()
    mirror = Mirror()
    view = ConfigurationView(root=_ROOT)
    mirror.replace(_build_entries(teams), revision=teams)
    view.apply(mirror.entries)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size


def _time_change(teams):
    """Time what an instance does when one team's value changed."""
    mirror = Mirror()
    view = ConfigurationView(root=_ROOT)
    mirror.replace(_build_entries(teams), revision=teams)
    view.apply(mirror.entries)
    revision = teams
    key = build_team_key(_ROOT, "team-0007")
    value = build_team_value(changes=_FULL_HISTORY, timeout_ms=900)

    def change():
        nonlocal revision
        revision += 1
        mirror.apply_change(MirrorEntry(key=key, value=value, revision=revision))
        view.apply(mirror.entries)

    return time_call(change)


def _load_program(teams, pipe):
    """Load what an instance loads, and some teams; tell the memory it takes."""
    for name in _PROGRAM:
        importlib.import_module(name)
    configure_logs(level="CRITICAL")
    mirror = Mirror()
    view = ConfigurationView(root=_ROOT)
    mirror.replace(_build_entries(teams), revision=teams + 1)
    view.apply(mirror.entries)
    status = pathlib.Path("/proc/self/status").read_text()
    resident = next(x for x in status.splitlines() if x.startswith("VmRSS"))
    pipe.send(int(resident.split()[1]) * _KB)


def _measure_resident(teams):
    context = multiprocessing.get_context("spawn")
    pipe, other = context.Pipe()
    process = context.Process(target=_load_program, args=(teams, other))
    process.start()
    resident_bytes = pipe.recv()
    process.join()
    return resident_bytes


def measure_configuration() -> list[Slope]:
    """Measure what teams and changes cost each instance."""
    common = {"role": "relay", "module": "configuration.view, membership.mirror"}
    return [
        fit_line(
            key="resident",
            role="all",
            module="daemon",
            what="resident memory of a process with all modules loaded",
            axis="teams",
            unit="bytes",
            sizes=_TEAMS_LOADED,
            values=[_measure_resident(n) for n in _TEAMS_LOADED],
        ),
        fit_line(
            key="team_bytes",
            what="memory of the teams' configuration",
            axis="teams",
            unit="bytes",
            sizes=TEAMS,
            values=[_measure_team_bytes(n) for n in TEAMS],
            **common,
        ),
        fit_line(
            key="config_change",
            what="one change taken in",
            axis="teams",
            unit="us",
            sizes=TEAMS,
            values=[_time_change(n) for n in TEAMS],
            **common,
        ),
        fit_line(
            key="team_value",
            role="relay",
            module="configuration.document",
            what="a team's value, sent whole to each watch",
            axis="changes kept",
            unit="bytes",
            sizes=CHANGES,
            values=[len(build_team_value(changes=n)) for n in CHANGES],
        ),
    ]


def _run_keys(count):
    table = KeyTable(max_age_ms=1e12, max_bytes=1 << 40)
    window = ActingWindow(since_wall_ms=-1e15, skew_ms=500.0, ahead_ms=1e15)
    answer = CallerAnswer(code=ResultCode.OK, body=_BODY)
    for _ in range(count):
        key = mint_key()
        minted_ms = read_minted_ms(key)
        verdict = table.begin(
            key=key,
            minted_ms=minted_ms,
            digest=key,
            wall_ms=float(minted_ms),
            window=window,
        )
        table.finish(verdict.record, attrs.evolve(answer, body=bytes(bytearray(_BODY))))
    return table


def _measure_key_bytes(count):
    tracemalloc.start()
    table = _run_keys(count)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert len(table) == count
    return size


def measure_keys() -> list[Slope]:
    """Measure what remembered keys cost the owner of their shard."""
    common = {"role": "request shard", "module": "requests.dedup", "axis": "keys"}
    return [
        fit_line(
            key="key_bytes",
            what="memory of keys with answers of 200 bytes",
            unit="bytes",
            sizes=KEYS,
            values=[_measure_key_bytes(n) for n in KEYS],
            **common,
        ),
        fit_line(
            key="key_cpu",
            what="keys minted, entered and finished",
            unit="us",
            sizes=KEYS,
            values=[time_call(lambda n=n: _run_keys(n)) for n in KEYS],
            **common,
        ),
    ]
