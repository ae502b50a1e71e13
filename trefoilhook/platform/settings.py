"""The settings file that the platform places on each instance."""

import math
from collections.abc import Mapping
from typing import Any

import attrs

from trefoilhook.decoding import parse_object, read_number, read_object, read_string
from trefoilhook.exceptions import DecodeError, SettingsError
from trefoilhook.platform.core import Address, parse_address

__all__ = [
    "SETTINGS_VARIABLE",
    "Bounds",
    "InstanceSize",
    "ProcessSettings",
    "parse_settings",
]

SETTINGS_VARIABLE = "TREFOILHOOK_BOOT"
"""Environment variable with the path of the settings file."""


_DEFAULT_STATUS_S = 120
"""Default time for which the state of an ended job remains readable, in s. It matches
the settings of all known deployments."""

_DEFAULT_OVERLOAD_MS = 4000.0
"""Default time for which a service task may exceed its latency limit, in ms: the
smallest value of all known deployments."""


_DEFAULT_NOTICE_MS = 2000.0
"""Default notice that a worker gives before it leaves, in ms."""

_DEFAULT_HEARTBEAT_MS = 1500.0
"""Default interval between two heartbeats of a worker, in ms."""


@attrs.frozen(kw_only=True)
class Bounds:
    """Time limits that the platform's users require or guarantee, in ms.

    Parameters
    ----------
    shutdown_ms : float
        Time between SIGTERM and SIGKILL.
    max_task_lease_ms : float
        Maximum lease of tasks on a worker; longer leases are shortened to it.
    longest_stop_ms : float
        Maximum time that a task takes to stop.
    status_ms : float
        Time for which the state of an ended job must remain readable.
    overload_ms : float
        Maximum time for which a service task may exceed its latency limit.
    drain_notice_ms : float
        Minimum time between a worker's announcement in the store that it is draining
        and its end.
    heartbeat_ms : float
        Interval between two heartbeats of a worker in the store.
    evacuation_ms : float
        Time after an evacuation request by which tasks must no longer be started in
        the failure domain. Infinite if absent from the settings.
    configuration_ms : float
        Time after the confirmation of a configuration by which it must be in force.
        Infinite if absent from the settings.
    cancel_ms : float
        Time after the cancellation of a job by which none of its tasks may be started.
        Infinite if absent from the settings.
    """

    shutdown_ms: float
    max_task_lease_ms: float
    longest_stop_ms: float
    status_ms: float
    overload_ms: float
    drain_notice_ms: float = _DEFAULT_NOTICE_MS
    heartbeat_ms: float = _DEFAULT_HEARTBEAT_MS
    evacuation_ms: float = math.inf
    configuration_ms: float = math.inf
    cancel_ms: float = math.inf


@attrs.frozen(kw_only=True)
class InstanceSize:
    """Resources of an instance; the defaults suffice for an owner of any size.

    Parameters
    ----------
    cores : float
        Processor capacity, in cores of standard speed.
    link_mbps : float
        Network bandwidth, in Mbit/s.
    """

    cores: float = 2.0
    link_mbps: float = 1000.0


@attrs.frozen(kw_only=True)
class ProcessSettings:
    """Settings of a process.

    Parameters
    ----------
    name : str
        Name of the instance.
    entry_address : (str, int)
        Listen address for clients.
    readiness_address : (str, int)
        Listen address for the platform's readiness checks.
    store_address : (str, int)
        Address of the platform's store.
    advice_address : (str, int) or None
        Address of the advice service, which allows workers for a step.
    bounds : Bounds
        Time limits.
    size : InstanceSize
        Resources of the instance.
    failure_domains : frozenset of str
        Failure domains of the deployment; empty if absent from the settings.
    """

    name: str
    entry_address: Address
    readiness_address: Address
    store_address: Address
    bounds: Bounds
    advice_address: Address | None = None
    size: InstanceSize = InstanceSize()
    failure_domains: frozenset[str] = frozenset()


def _decode_size(table: Mapping[str, Any]) -> InstanceSize:
    defaults = InstanceSize()
    # The platform's "cores" is the speed of its single core relative to the standard.
    speed = read_number(table, "cores", default=1.0)
    share = read_number(table, "cpu_share", default=defaults.cores)
    return InstanceSize(
        cores=share * speed,
        link_mbps=read_number(table, "link_mbps", default=defaults.link_mbps),
    )


def _read_bound(table: Mapping[str, Any], name: str) -> float:
    """Return a time limit in ms; infinite if absent."""
    return read_number(table, name) if name in table else math.inf


def _decode_bounds(table: Mapping[str, Any], heartbeat_ms: float) -> Bounds:
    status_s = read_number(table, "status_s", default=_DEFAULT_STATUS_S)
    return Bounds(
        shutdown_ms=read_number(table, "grace_s") * 1000.0,
        max_task_lease_ms=read_number(table, "max_hold_ms"),
        longest_stop_ms=read_number(table, "stop_grace_ms"),
        status_ms=status_s * 1000.0,
        overload_ms=read_number(table, "impact_ms", default=_DEFAULT_OVERLOAD_MS),
        drain_notice_ms=read_number(table, "drain_ms", default=_DEFAULT_NOTICE_MS),
        heartbeat_ms=heartbeat_ms,
        evacuation_ms=_read_bound(table, "evacuate_ms"),
        configuration_ms=_read_bound(table, "config_apply_ms"),
        cancel_ms=_read_bound(table, "cancel_ms"),
    )


def _read_listen_address(table: Mapping[str, Any], name: str) -> Address:
    return parse_address(read_string(table, name), min_port=0)


def parse_settings(text: str) -> ProcessSettings:
    """Decode the settings file.

    Raises
    ------
    SettingsError
        If a required setting is missing or a setting is invalid.
    """
    try:
        table = parse_object(text.encode())
        addresses = read_object(table, "listen_addrs")
        platform = read_object(table, "platform")
        advice = table.get("advice")
        return ProcessSettings(
            name=read_string(table, "node_name", non_empty=True),
            entry_address=_read_listen_address(addresses, "frontend"),
            readiness_address=_read_listen_address(addresses, "readiness"),
            store_address=parse_address(read_string(platform, "address")),
            bounds=_decode_bounds(
                read_object(table, "bounds"),
                read_number(table, "heartbeat_ms", default=_DEFAULT_HEARTBEAT_MS),
            ),
            size=_decode_size(
                read_object(table, "limits") if "limits" in table else {}
            ),
            advice_address=parse_address(read_string(table, "advice"))
            if advice
            else None,
            failure_domains=frozenset(
                read_object(table, "zones") if "zones" in table else {}
            ),
        )
    except (UnicodeEncodeError, DecodeError) as error:
        raise SettingsError(f"invalid settings: {error}") from error
