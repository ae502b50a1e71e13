"""Request serving: idempotency keys, slots, queues, routing and retries."""

from trefoilhook.requests.core import RequestService, open_executor
from trefoilhook.requests.keys import (
    compute_executor_shard,
    compute_key_shard,
    format_key,
    format_shard_id,
    generate_key,
    parse_key,
)
from trefoilhook.requests.models import (
    Attempt,
    CallerAnswer,
    CallerRequest,
    ExecutorTarget,
    ServiceSettings,
    TeamView,
    TokenCheckResult,
)
from trefoilhook.requests.settings import RequestSettings

__all__ = [
    "Attempt",
    "CallerAnswer",
    "CallerRequest",
    "ExecutorTarget",
    "RequestService",
    "RequestSettings",
    "ServiceSettings",
    "TeamView",
    "TokenCheckResult",
    "compute_executor_shard",
    "compute_key_shard",
    "format_key",
    "format_shard_id",
    "generate_key",
    "open_executor",
    "parse_key",
]
