"""All settings of a daemon, with one section for each package."""

import attrs

from trefoilhook.inner import InnerSettings
from trefoilhook.jobs import JobSettings
from trefoilhook.journal import JournalSettings
from trefoilhook.membership import MembershipSettings
from trefoilhook.requests import RequestSettings
from trefoilhook.settings import (
    BaseSettings,
    FieldError,
    check_choice,
    check_range,
    declare,
    declare_section,
)

__all__ = ["DaemonSettings", "LogSettings", "ShutdownSettings"]


@attrs.frozen(kw_only=True)
class LogSettings:
    """Level and format of the log."""

    level: str = declare(
        default="INFO",
        description="Minimum level that is written.",
        check=check_choice(("DEBUG", "INFO", "WARNING", "ERROR")),
    )
    is_json: bool = declare(
        default=True, description="Write one JSON object per line instead of text."
    )


@attrs.frozen(kw_only=True)
class ShutdownSettings:
    """Time limits of the graceful shutdown."""

    handover_ms: float = declare(
        default=10_000.0,
        unit="ms",
        description="Time limit for handing over the shards.",
        check=check_range(0, 600_000),
    )
    grace_ms: float = declare(
        default=2_000.0,
        unit="ms",
        description="How long idle connections stay open for requests in transit.",
        check=check_range(0, 600_000),
    )


@attrs.frozen(kw_only=True)
class DaemonSettings(BaseSettings):
    """All settings that an instance reads from its settings file."""

    membership: MembershipSettings = declare_section(
        MembershipSettings, description="Store lease, watch and promises."
    )
    inner: InnerSettings = declare_section(
        InnerSettings, description="Links between instances."
    )
    requests: RequestSettings = declare_section(
        RequestSettings, description="Serving of callers' requests."
    )
    jobs: JobSettings = declare_section(
        JobSettings, description="Jobs and their workers."
    )
    journal: JournalSettings = declare_section(
        JournalSettings, description="Records of jobs in the store."
    )
    logs: LogSettings = declare_section(LogSettings, description="Logs.")
    shutdown: ShutdownSettings = declare_section(
        ShutdownSettings, description="Leaving."
    )

    def __attrs_post_init__(self) -> None:
        membership = self.membership
        if membership.renew_interval_ms * 2 >= membership.lease_ttl_ms:
            raise FieldError(
                name="membership",
                value=membership.renew_interval_ms,
                reason="renew_interval_ms must be less than half of lease_ttl_ms",
            )
        if self.jobs.worker_lease_ms <= 2 * membership.lease_ttl_ms:
            raise FieldError(
                name="jobs",
                value=self.jobs.worker_lease_ms,
                reason="worker_lease_ms must exceed twice membership's lease_ttl_ms, "
                "or tasks stop in a takeover",
            )
        if self.requests.shard_count != self.shards.request_shards:
            raise FieldError(
                name="requests",
                value=self.requests.shard_count,
                reason="shard_count must equal shards' request_shards",
            )
