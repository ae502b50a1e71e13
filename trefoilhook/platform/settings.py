"""The settings file that the platform places on each instance."""

import json
from collections.abc import Mapping
from typing import Any

import attrs

from trefoilhook.exceptions import SettingsError
from trefoilhook.platform.core import Address, parse_address

__all__ = ["SETTINGS_VARIABLE", "Bounds", "ProcessSettings", "parse_settings"]

SETTINGS_VARIABLE = "TREFOILHOOK_BOOT"
"""Environment variable with the path of the settings file."""


_DEFAULT_STATUS_S = 120
"""How long the state of an ended job is told where the settings don't say, in s: what
they say on every deployment seen."""

_DEFAULT_OVERLOAD_MS = 4000.0
"""How long a service task may be over its latency limit where the settings don't say,
in ms: the least that they say on the deployments seen."""


@attrs.frozen(kw_only=True)
class Bounds:
    """Time limits that the users hold the system to, in ms.

    Parameters
    ----------
    shutdown_ms : float
        From SIGTERM to SIGKILL.
    max_task_lease_ms : float
        Longest lease of what runs on a worker; a longer one is cut to it.
    longest_stop_ms : float
        Longest time that a task takes to stop.
    status_ms : float
        How long the state of an ended job must be told.
    overload_ms : float
        How long a service task may stay over its latency limit.
    """

    shutdown_ms: float
    max_task_lease_ms: float
    longest_stop_ms: float
    status_ms: float
    overload_ms: float


@attrs.frozen(kw_only=True)
class ProcessSettings:
    """What a process is told about itself and the platform.

    Parameters
    ----------
    name : str
        Name of the instance.
    entry_address : (str, int)
        Where clients are served.
    readiness_address : (str, int)
        Where the platform asks whether new connections may come.
    store_address : (str, int)
        Where the platform's store listens.
    advice_address : (str, int) or None
        Where the service listens that tells which workers a step may run on.
    bounds : Bounds
        Time limits.
    """

    name: str
    entry_address: Address
    readiness_address: Address
    store_address: Address
    bounds: Bounds
    advice_address: Address | None = None


def _decode_bounds(table: Mapping[str, Any]) -> Bounds:
    return Bounds(
        shutdown_ms=table["grace_s"] * 1000.0,
        max_task_lease_ms=table["max_hold_ms"],
        longest_stop_ms=table["stop_grace_ms"],
        status_ms=table.get("status_s", _DEFAULT_STATUS_S) * 1000.0,
        overload_ms=table.get("impact_ms", _DEFAULT_OVERLOAD_MS),
    )


def parse_settings(text: str) -> ProcessSettings:
    """Decode the settings file.

    Raises
    ------
    SettingsError
        If something that the process needs is missing or of the wrong kind.
    """
    try:
        table = json.loads(text)
        addresses = table["listen_addrs"]
        advice = table.get("advice")
        return ProcessSettings(
            name=table["node_name"],
            entry_address=parse_address(addresses["frontend"]),
            readiness_address=parse_address(addresses["readiness"]),
            store_address=parse_address(table["platform"]["address"]),
            bounds=_decode_bounds(table["bounds"]),
            advice_address=parse_address(advice) if advice else None,
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise SettingsError(f"the settings can't be read: {error!r}") from error
