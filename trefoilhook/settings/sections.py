"""Settings sections shared by several packages: addresses, listeners and peers."""

import attrs

from trefoilhook.settings.checks import check_name, check_range, is_digest, is_host
from trefoilhook.settings.core import FieldError, declare, declare_section

__all__ = [
    "AdminSettings",
    "BaseSettings",
    "InstanceListSettings",
    "InstanceSettings",
    "ListenerSettings",
    "ListenersSettings",
    "PeerSettings",
    "ShardSettings",
    "StoreSettings",
    "TlsSettings",
]

_PORT = check_range(0, 65_535)
_REMOTE_PORT = check_range(1, 65_535)
_MAX_SHARDS = 4_096
_HOUR_MS = 3_600_000


@attrs.frozen(kw_only=True)
class InstanceSettings:
    """Identity and location of this instance."""

    instance_id: str | None = declare(
        default=None,
        description="Name of the instance, never reused; random when not given.",
        check=check_name,
    )
    failure_domain: str = declare(
        default="fd-1", description="Failure domain of the instance.", check=check_name
    )
    region: str = declare(
        default="region-1", description="Region of the instance.", check=check_name
    )


@attrs.frozen(kw_only=True)
class TlsSettings:
    """TLS files, all in PEM format."""

    certificate_file: str = declare(description="Certificate chain of this instance.")
    key_file: str = declare(description="Private key of this instance.")
    authority_file: str | None = declare(
        default=None,
        description="Certificate authorities trusted for the peer's certificate. "
        "Required between instances; on other listeners it requires client "
        "certificates.",
    )


@attrs.frozen(kw_only=True)
class ListenerSettings:
    """Address and TLS files of one listener."""

    host: str = declare(
        default="127.0.0.1", description="IP address to listen on.", check=is_host
    )
    port: int = declare(
        default=0, description="Port to listen on; 0 selects a free port.", check=_PORT
    )
    tls: TlsSettings | None = declare(
        default=None, description="TLS files; null is plain TCP."
    )


@attrs.frozen(kw_only=True)
class ListenersSettings:
    """The three listeners of an instance."""

    entry: ListenerSettings = declare_section(
        ListenerSettings, description="Callers' requests."
    )
    admin: ListenerSettings = declare_section(
        ListenerSettings, description="The operators' admin API."
    )
    inner: ListenerSettings = declare_section(
        ListenerSettings, description="Other instances."
    )

    def __attrs_post_init__(self) -> None:
        inner_tls = self.inner.tls
        if inner_tls is not None and inner_tls.authority_file is None:
            reason = "needs authority_file: TLS between instances is mutual"
            raise FieldError(name="inner", value=None, reason=reason)
        self._refuse_duplicate_addresses()

    def _refuse_duplicate_addresses(self) -> None:
        seen: set[tuple[str, int]] = set()
        for name in ("entry", "admin", "inner"):
            listener: ListenerSettings = getattr(self, name)
            address = (listener.host, listener.port)
            if listener.port and address in seen:
                reason = "listens on the address of another listener"
                value = f"{listener.host}:{listener.port}"
                raise FieldError(name=name, value=value, reason=reason)
            seen.add(address)


@attrs.frozen(kw_only=True)
class StoreSettings:
    """The platform's configuration store."""

    host: str = declare(
        default="127.0.0.1", description="IP address of the store.", check=is_host
    )
    port: int = declare(
        default=2400, description="Port of the store.", check=_REMOTE_PORT
    )
    token: str | None = declare(
        default=None,
        description="Token sent to the store for authentication.",
        is_secret=True,
    )
    timeout_ms: int = declare(
        default=1_000,
        unit="ms",
        description="Longest wait for a response of the store.",
        check=check_range(10, 60_000),
    )


@attrs.frozen(kw_only=True)
class InstanceListSettings:
    """The platform's list of live and leaving instances."""

    host: str = declare(
        default="127.0.0.1", description="IP address of the list.", check=is_host
    )
    port: int = declare(
        default=2401, description="Port of the list.", check=_REMOTE_PORT
    )
    timeout_ms: int = declare(
        default=1_000,
        unit="ms",
        description="Longest wait for a response of the list.",
        check=check_range(10, 60_000),
    )
    interval_ms: int = declare(
        default=1_000,
        unit="ms",
        description="Interval between two reads of the list.",
        check=check_range(100, 60_000),
    )


@attrs.frozen(kw_only=True)
class PeerSettings:
    """Inner address of another instance, used at start-up while the store is down."""

    host: str = declare(description="IP address of the peer.", check=is_host)
    port: int = declare(description="Inner port of the peer.", check=_REMOTE_PORT)


@attrs.frozen(kw_only=True)
class ShardSettings:
    """Number of shards; must be the same on all instances."""

    request_shards: int = declare(
        default=64,
        description="Number of shards for request keys and executors.",
        check=check_range(1, _MAX_SHARDS),
    )
    worker_shards: int = declare(
        default=1,
        description="Number of shards for jobs and racks of workers.",
        check=check_range(1, _MAX_SHARDS),
    )


@attrs.frozen(kw_only=True)
class AdminSettings:
    """The admin API."""

    cluster_tokens: tuple[str, ...] = declare(
        default=(),
        description="SHA-256 digests of the tokens that cover all teams. Several at "
        "once allow a token to be rotated without downtime.",
        check=is_digest,
        is_secret=True,
    )
    history_limit: int = declare(
        default=50,
        description="Changes kept in the history of a team's configuration.",
        check=check_range(1, 1_000),
    )
    max_wait_ms: int = declare(
        default=60_000,
        unit="ms",
        description="Longest time that a call may wait for a revision to be in force.",
        check=check_range(1, _HOUR_MS),
    )


@attrs.frozen(kw_only=True)
class BaseSettings:
    """The shared sections; the daemon adds those of its other packages."""

    instance: InstanceSettings = declare_section(
        InstanceSettings, description="Identity and location of this instance."
    )
    listeners: ListenersSettings = declare_section(
        ListenersSettings, description="Listeners of the instance."
    )
    store: StoreSettings = declare_section(
        StoreSettings, description="The platform's configuration store."
    )
    instances: InstanceListSettings = declare_section(
        InstanceListSettings, description="The platform's list of instances."
    )
    peers: tuple[PeerSettings, ...] = declare(
        default=(),
        description="Inner addresses of other instances, which supply the "
        "configuration if the store is down at start-up.",
    )
    shards: ShardSettings = declare_section(
        ShardSettings, description="How resources and jobs are divided into shards."
    )
    admin: AdminSettings = declare_section(AdminSettings, description="The admin API.")
