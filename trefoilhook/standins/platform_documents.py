"""Configurations and settings files as written by the users' operator and platform."""

from typing import Any

__all__ = ["build_configuration", "build_settings"]


def _build_route(prefix: str, host: str, service: str, max_attempts: int) -> Any:
    return {
        "name": f"r{prefix.strip('/')}",
        "host": host,
        "prefix": prefix,
        "kind": "non_idempotent",
        "timeout_ms": 3000,
        "target_latency_ms": 250,
        "priority": 0,
        "service": service,
        "max_attempts": max_attempts,
        "stretch": 1.5,
    }


def build_configuration(
    version: int,
    *prefixes: str,
    host: str,
    service: str = "s",
    max_attempts: int = 3,
) -> dict[str, Any]:
    """Build a configuration with one queue for each prefix."""
    routes = [_build_route(p, host, service, max_attempts) for p in prefixes]
    return {"version": version, "routes": routes, "services": [], "limits": {}}


def build_settings(
    *,
    name: str,
    port: int,
    readiness_port: int,
    store_port: int,
    **fields: Any,
) -> dict[str, Any]:
    """Build the settings file of an instance on the loopback address."""
    return {
        "node_name": name,
        "listen_addrs": {
            "frontend": f"127.0.0.1:{port}",
            "readiness": f"127.0.0.1:{readiness_port}",
        },
        "platform": {"address": f"127.0.0.1:{store_port}"},
        "bounds": {
            "grace_s": 6,
            "max_hold_ms": 6000,
            "stop_grace_ms": 200,
            "evacuate_ms": 5000,
        },
        **fields,
    }
