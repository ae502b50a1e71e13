"""Idempotency keys and the mapping of keys and executors to shards."""

import functools
import hashlib
import uuid

import uuid6
import xxhash

from trefoilhook.exceptions import RequestError
from trefoilhook.results import ResultCode

__all__ = [
    "compute_digest",
    "compute_executor_shard",
    "compute_key_shard",
    "format_key",
    "format_shard_id",
    "generate_key",
    "parse_key",
    "read_created_ms",
]

_KEY_VERSION = 7
_KEY_BYTES = 16
_DIGEST_BYTES = 16
_EXECUTOR_CACHE_SIZE = 4_096


def generate_key() -> bytes:
    """Return the 16 bytes of a new time-ordered key (UUIDv7)."""
    return uuid6.uuid7().bytes


def parse_key(text: str) -> bytes:
    """Parse the textual form of a key.

    Raises
    ------
    RequestError
        If the text is not a UUIDv7.
    """
    try:
        key = uuid.UUID(text.strip())
    except ValueError as error:
        raise RequestError(
            "the idempotency key is not a UUID", code=ResultCode.KEY_REQUIRED
        ) from error
    if key.version != _KEY_VERSION:
        raise RequestError(
            "the idempotency key is not a UUIDv7", code=ResultCode.KEY_REQUIRED
        )
    return key.bytes


def read_created_ms(key: bytes) -> int:
    """Return the creation time of a key, in ms since the Unix epoch.

    Raises
    ------
    RequestError
        If the bytes are not a UUIDv7.
    """
    if len(key) != _KEY_BYTES:
        raise RequestError(
            "the idempotency key is not 16 bytes long", code=ResultCode.KEY_REQUIRED
        )
    parsed = uuid6.UUID(bytes=key)
    if parsed.version != _KEY_VERSION:
        raise RequestError(
            "the idempotency key is not a UUIDv7", code=ResultCode.KEY_REQUIRED
        )
    return parsed.time


def format_shard_id(number: int) -> str:
    """Return the name of a request shard."""
    return f"req-{number:03d}"


def format_key(key: bytes) -> str:
    """Return the textual form of a key, as used in the callers' header."""
    return str(uuid.UUID(bytes=key))


def compute_key_shard(key: bytes, *, shard_count: int) -> str:
    """Return the request shard of a key."""
    return format_shard_id(xxhash.xxh3_64_intdigest(key) % shard_count)


@functools.lru_cache(maxsize=_EXECUTOR_CACHE_SIZE)
def compute_executor_shard(executor_id: str, *, shard_count: int) -> str:
    """Return the request shard of an executor."""
    return format_shard_id(xxhash.xxh3_64_intdigest(executor_id.encode()) % shard_count)


def compute_digest(*, team: str, service: str, content_type: str, body: bytes) -> bytes:
    """Return a digest that detects reuse of a key for a different request.

    The digest covers the team, so that a team that guesses a key never receives another
    team's answer. A collision-resistant hash is required for this reason.
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in (team.encode(), service.encode(), content_type.encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()
