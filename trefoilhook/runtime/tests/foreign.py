"""Entries as another writer would leave them, and the log lines about them."""

from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

from loguru import logger

from trefoilhook.standins.platform_store import PlatformStore

NESTED = b"[" * 100_000


def build_foreign(entry: dict[str, Any]) -> list[bytes | dict[str, Any]]:
    """Build entries that are a worker's but for one fault each.

    Parameters
    ----------
    entry : dict
        A sound entry of a worker that can be reached.
    """
    no_state = {name: value for name, value in entry.items() if name != "state"}
    return [
        no_state,
        {**entry, "state": None},
        {**entry, "state": 1},
        {**entry, "state": "paused"},
        {**entry, "address": 80},
        {**entry, "address": None},
        {**entry, "address": entry["address"].partition(":")[0] + ":99999"},
        {**entry, "capacity": [16000, 32768]},
        {**entry, "capacity": "large"},
        {**entry, "service": 7},
        {**entry, "service": ["s"]},
        {**entry, "service": "nobody's"},
        {**entry, "zone": 3},
        {**entry, "remaining_ms": "soon"},
        {**entry, "labels": "ab"},
        b"\xff\xfe\x00",
        b"",
        b"null",
        NESTED,
    ]


def write_any(store: PlatformStore, key: str, value: bytes | dict[str, Any]) -> None:
    """Write bytes as they are, and all else as JSON."""
    if isinstance(value, bytes):
        store.write_bytes(key, value)
    else:
        store.write(key, value)


@contextmanager
def collect_lines() -> Iterator[list[dict[str, Any]]]:
    """Collect the fields of every log line."""
    lines: list[dict[str, Any]] = []
    sink = logger.add(lambda message: lines.append(message.record["extra"]))
    try:
        yield lines
    finally:
        logger.remove(sink)
