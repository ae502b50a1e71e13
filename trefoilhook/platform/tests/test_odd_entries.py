"""Odd entries of the store, one in each reader that decodes them."""

import json
import math
import time
import unittest
from collections.abc import Callable
from typing import Any

import attrs

from trefoilhook.decoding.tests.odd_values import (
    MAX_DECODING_S,
    ODD_ADDRESSES,
    build_odd_documents,
)
from trefoilhook.exceptions import DecodeError
from trefoilhook.platform import (
    decode_configuration,
    decode_evacuation,
    decode_worker_report,
)
from trefoilhook.runtime.roster import _decode_roster
from trefoilhook.scheduling import (
    decode_durations,
    decode_interference,
    decode_job_record,
    decode_progress,
    decode_queues,
)
from trefoilhook.scheduling.urgent_demand import decode_urgent_demands
from trefoilhook.scheduling.wait_records import decode_waits
from trefoilhook.takeover import decode_head, decode_places

_WORKER = {
    "address": "127.0.0.1:80",
    "service": "s",
    "zone": "z",
    "capacity": {"cpu": 1, "mem_mb": 1, "gpu": 0},
    "labels": ["a"],
    "state": "ready",
    "remaining_ms": 0,
    "born": 5,
    "version": "1",
    "slots": 1,
    "cold_left_ms": 0,
    "sequence": 1,
}
_CONFIGURATION = {
    "version": 1,
    "routes": [
        {
            "name": "q",
            "host": "h",
            "prefix": "/p",
            "service": "s",
            "priority": 1,
            "max_attempts": 2,
            "stretch": 1.0,
            "target_latency_ms": 5,
            "advice": {"decision_ms": 1, "period_ms": 1, "valid_ms": 1},
        }
    ],
    "services": [{"name": "s"}],
}
_QUEUE = {
    "name": "q",
    "host": "h",
    "prefix": "/",
    "service": "s",
    "priority": 1,
    "max_attempts": 1,
    "stretch": 1.0,
    "objective_ms": 1,
    "advice": {"decision_ms": 1, "per_worker_ms": 1, "valid_ms": 1},
}
_STEP = {
    "count": 1,
    "demand": [1, 1, 1],
    "estimate_ms": 1,
    "after": [],
    "checkpointing": True,
    "gang": False,
    "same_rack": False,
    "required_label": "",
    "data_rack": "",
    "max_per_worker": 1,
    "image": "i",
    "latency_limit_ms": 1,
    "max_absent": 1,
}
_JOB = {
    "job_id": "j",
    "queue": "q",
    "accepted_ms": 1,
    "spec": "",
    "repeats": 1,
    "first_due_ms": 1,
    "interval_ms": 1,
    "steps": [_STEP],
}
_PROGRESS = {
    "done": {"0.0": [1]},
    "failed": {"0.0.0": [1]},
    "checkpoints": {"0.0.0": "c"},
    "suspicions": {
        "0.0.0": {
            "notes": {"1": ["w", 1.0, True]},
            "survived": 0.5,
            "attempt": 1,
            "workers": ["w"],
            "ran_ms": 1,
        }
    },
    "placed": {"0.0": [1]},
}
_GROUPS = {
    "epoch": 2,
    "groups": 2,
    "all_placed": True,
    "workers": [[0, "w", "127.0.0.1:1"]],
}
_HEAD = {
    **_GROUPS,
    "format": 1,
    "inherited": [{**_GROUPS, "epoch": 1}],
    "unrecorded_epoch": None,
    "elapsed": [[1, 5]],
    "lease_limits": {"w": 5},
}
_PLACES = {"format": 1, "epoch": 1, "workers": ["w"], "steps": {"j.0.0": [[0, 1, 0]]}}
_DURATION = {
    "queue": "q",
    "image": "i",
    "declared": {"3": 1.0},
    "spread": {"3": 1.0},
    "done": 1.0,
    "failed": 0.0,
}
_VICTIM = {
    "base": 1.0,
    "swing": 1.0,
    "means": {"i": 0.1},
    "covariance": {"i": {"i": 1.0}},
}
_DEMAND = {
    "service": "s",
    "priority": 1,
    "peak_cpu": 10,
    "mean_cpu": 5.0,
    "mean_mb": 5.0,
}
_WAITS = {
    "epoch": 1,
    "services": [
        {
            "job": "j",
            "occurrence": 0,
            "step": 0,
            "waited_ms": 1500,
            "interrupted_ms": 100,
        }
    ],
    "idle": [{"job": "k", "waited_ms": 1500}],
}

_READERS: dict[str, tuple[Callable[[bytes], Any], Any]] = {
    "worker": (lambda data: decode_worker_report("servers/w", data), _WORKER),
    "configuration": (decode_configuration, _CONFIGURATION),
    "evacuation": (lambda data: decode_evacuation("op/evacuate/z", data), {}),
    "job": (decode_job_record, {"phase": "open", "queue": _QUEUE, "job": _JOB}),
    "progress": (decode_progress, _PROGRESS),
    "groups": (decode_head, _HEAD),
    "places": (decode_places, _PLACES),
    "roster": (_decode_roster, ["w", "v"]),
    "queues": (decode_queues, {"queues": [_QUEUE]}),
    "durations": (decode_durations, {"rows": [_DURATION]}),
    "interference": (decode_interference, {"v": _VICTIM}),
    "urgent demands": (decode_urgent_demands, {"demands": [_DEMAND]}),
    "waits": (decode_waits, _WAITS),
}


def _list_numbers(value: Any) -> list[int | float]:
    """Return all numbers in a decoded object."""
    if isinstance(value, int | float):
        return [value]
    if attrs.has(type(value)):
        fields = attrs.fields(type(value))
        return _list_numbers([getattr(value, field.name) for field in fields])
    if isinstance(value, dict):
        return _list_numbers([*value.keys(), *value.values()])
    if isinstance(value, list | tuple | set | frozenset):
        return [number for each in value for number in _list_numbers(each)]
    return []


class OddEntriesTest(unittest.TestCase):
    """Entries that differ from a valid one in one place."""

    def test_odd_entries(self):
        # Guards against one odd entry that ends the process which reads it, blocks its
        # event loop, or brings in a number with which sums are not finite.
        for reader, (decode, valid) in _READERS.items():
            data = json.dumps(valid).encode()
            for name, odd in build_odd_documents(data):
                with self.subTest(reader, name=name):
                    started_s = time.perf_counter()
                    try:
                        found = decode(odd)
                    except DecodeError:
                        found = None
                    self.assertLess(time.perf_counter() - started_s, MAX_DECODING_S)
                    numbers = _list_numbers(found)
                    self.assertTrue(math.isfinite(sum(map(float, numbers))))

    def test_valid_entries(self):
        # The odd entries would show nothing if the valid ones were refused.
        for reader, (decode, valid) in _READERS.items():
            with self.subTest(reader):
                decode(json.dumps(valid).encode())

    def test_odd_addresses(self):
        # Guards against an address that raises in the connection library, after the
        # entry counts as valid.
        for address in ODD_ADDRESSES:
            with self.subTest(ascii(address)[:40]), self.assertRaises(DecodeError):
                data = json.dumps({**_WORKER, "address": address}).encode()
                decode_worker_report("servers/w", data)
