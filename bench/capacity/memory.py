"""Memory and processor time of configurations and idempotency keys."""

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
from trefoilhook.requests.dedup import KeyTable, KeyTimeWindow
from trefoilhook.requests.keys import generate_key, read_created_ms
from trefoilhook.results import ResultCode

__all__ = ["measure_configuration", "measure_keys"]

TEAM_COUNTS = (100, 200, 400, 800)
HISTORY_LENGTHS = (0, 10, 25, 50)
KEY_COUNTS = (1_000, 5_000, 25_000)
_SERVICES = 4
_BODY = bytes(200)
_MAX_HISTORY_LENGTH = 50
_ROOT = "root"
_DAEMON_MODULES = ("trefoilhook.daemon", "trefoilhook.entry", "trefoilhook.admin")
_RESIDENT_TEAM_COUNTS = (0, 400, 800)
_KIB = 1024


def build_team_value(*, changes: int, timeout_ms: int = 1_000) -> bytes:
    """Build a team's stored value: four services and a change history."""
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
    value = build_team_value(changes=_MAX_HISTORY_LENGTH)
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
    mirror.apply_listing(_build_entries(teams), revision=teams)
    view.apply(mirror.entries)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size


def _time_change(teams):
    """Time the processing of a change of one team's value."""
    mirror = Mirror()
    view = ConfigurationView(root=_ROOT)
    mirror.apply_listing(_build_entries(teams), revision=teams)
    view.apply(mirror.entries)
    revision = teams
    key = build_team_key(_ROOT, "team-0007")
    value = build_team_value(changes=_MAX_HISTORY_LENGTH, timeout_ms=900)

    def change():
        nonlocal revision
        revision += 1
        mirror.apply_change(MirrorEntry(key=key, value=value, revision=revision))
        view.apply(mirror.entries)

    return time_call(change)


def _report_resident_memory(teams, pipe):
    """Load the daemon's modules and some teams; send the resident memory, in bytes."""
    for name in _DAEMON_MODULES:
        importlib.import_module(name)
    configure_logs(level="CRITICAL")
    mirror = Mirror()
    view = ConfigurationView(root=_ROOT)
    mirror.apply_listing(_build_entries(teams), revision=teams + 1)
    view.apply(mirror.entries)
    status = pathlib.Path("/proc/self/status").read_text()
    resident = next(x for x in status.splitlines() if x.startswith("VmRSS"))
    pipe.send(int(resident.split()[1]) * _KIB)


def _measure_resident(teams):
    context = multiprocessing.get_context("spawn")
    pipe, other = context.Pipe()
    process = context.Process(target=_report_resident_memory, args=(teams, other))
    process.start()
    resident_bytes = pipe.recv()
    process.join()
    return resident_bytes


def measure_configuration() -> list[Slope]:
    """Measure the cost of team configurations on an instance."""
    common = {"role": "relay", "module": "configuration.view, membership.mirror"}
    return [
        fit_line(
            key="resident",
            role="all",
            module="daemon",
            description="resident memory of a process with all modules loaded",
            axis="teams",
            unit="bytes",
            sizes=_RESIDENT_TEAM_COUNTS,
            values=[_measure_resident(n) for n in _RESIDENT_TEAM_COUNTS],
        ),
        fit_line(
            key="team_bytes",
            description="memory of the teams' configuration",
            axis="teams",
            unit="bytes",
            sizes=TEAM_COUNTS,
            values=[_measure_team_bytes(n) for n in TEAM_COUNTS],
            **common,
        ),
        fit_line(
            key="config_change",
            description="one change taken in",
            axis="teams",
            unit="us",
            sizes=TEAM_COUNTS,
            values=[_time_change(n) for n in TEAM_COUNTS],
            **common,
        ),
        fit_line(
            key="team_value",
            role="relay",
            module="configuration.document",
            description="a team's value, sent whole to each watch",
            axis="changes kept",
            unit="bytes",
            sizes=HISTORY_LENGTHS,
            values=[len(build_team_value(changes=n)) for n in HISTORY_LENGTHS],
        ),
    ]


def _fill_key_table(count):
    table = KeyTable(max_age_ms=1e12, max_bytes=1 << 40)
    window = KeyTimeWindow(
        since_wall_ms=-1e15, max_clock_skew_ms=500.0, max_ahead_ms=1e15
    )
    answer = CallerAnswer(code=ResultCode.OK, body=_BODY)
    for _ in range(count):
        key = generate_key()
        created_ms = read_created_ms(key)
        verdict = table.begin(
            key=key,
            created_ms=created_ms,
            digest=key,
            wall_ms=float(created_ms),
            window=window,
        )
        table.finish(verdict.record, attrs.evolve(answer, body=bytes(bytearray(_BODY))))
    return table


def _measure_key_bytes(count):
    tracemalloc.start()
    table = _fill_key_table(count)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert len(table) == count
    return size


def measure_keys() -> list[Slope]:
    """Measure the cost of stored idempotency keys on the owner of their shard."""
    common = {"role": "request shard", "module": "requests.dedup", "axis": "keys"}
    return [
        fit_line(
            key="key_bytes",
            description="memory of keys with answers of 200 bytes",
            unit="bytes",
            sizes=KEY_COUNTS,
            values=[_measure_key_bytes(n) for n in KEY_COUNTS],
            **common,
        ),
        fit_line(
            key="key_cpu",
            description="keys minted, entered and finished",
            unit="us",
            sizes=KEY_COUNTS,
            values=[time_call(lambda n=n: _fill_key_table(n)) for n in KEY_COUNTS],
            **common,
        ),
    ]
