"""Invalid worker entries, as left by other writers."""

import json
from typing import Any

__all__ = ["DEEPLY_NESTED_JSON", "build_foreign_entries"]

DEEPLY_NESTED_JSON = b"[" * 100_000
"""JSON nested too deeply for Python's parser."""


def build_foreign_entries(entry: dict[str, Any]) -> list[bytes]:
    """Build worker entries with one defect each, and values that are no entries.

    Parameters
    ----------
    entry : dict
        A valid entry of a reachable worker.
    """
    no_state = {name: value for name, value in entry.items() if name != "state"}
    host = entry["address"].partition(":")[0]
    tables: list[dict[str, Any]] = [
        no_state,
        {**entry, "state": None},
        {**entry, "state": 1},
        {**entry, "state": "paused"},
        {**entry, "address": 80},
        {**entry, "address": None},
        {**entry, "address": f"{host}:99999"},
        {**entry, "address": "a..b:80"},
        {**entry, "address": "...:80"},
        {**entry, "address": f"{'a' * 64}:80"},
        {**entry, "capacity": [16000, 32768]},
        {**entry, "capacity": "large"},
        {**entry, "service": 7},
        {**entry, "service": ["s"]},
        {**entry, "service": "nobody's"},
        {**entry, "zone": 3},
        {**entry, "remaining_ms": "soon"},
        {**entry, "labels": "ab"},
        {**entry, "sequence": "1"},
        {**entry, "cold_left_ms": None},
        {**entry, "born": str(entry["born"])},
        {**entry, "born": entry["born"] + 1.5},
    ]
    encoded = [json.dumps(table).encode() for table in tables]
    utf_16 = json.dumps(entry).encode("utf-16")
    return [*encoded, utf_16, b"\xff\xfe\x00", b"", b"null", DEEPLY_NESTED_JSON]
