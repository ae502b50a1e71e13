"""Tokens, stored as digests and compared in constant time."""

import hashlib
import hmac
from collections.abc import Iterable

__all__ = ["digest_token", "matches_any_digest"]


def digest_token(token: str) -> str:
    """Return the SHA-256 digest of a token, in lower-case hexadecimal."""
    return hashlib.sha256(token.encode("utf-8", "surrogateescape")).hexdigest()


def matches_any_digest(token: str, digests: Iterable[str]) -> bool:
    """Tell whether the digest of ``token`` is one of ``digests``.

    Notes
    -----
    Resists timing attacks, by which a token could be guessed digit by digit: each
    comparison takes constant time, and all digests are compared even after a match.
    """
    digest = digest_token(token)
    matches = [hmac.compare_digest(digest, known) for known in digests]
    return any(matches)
