"""Settings of the journals."""

import attrs

from trefoilhook.settings import check_range, declare

__all__ = ["JournalSettings"]


@attrs.frozen(kw_only=True)
class JournalSettings:
    """Page size, compaction, retention and timeout settings of the journals."""

    page_bytes: int = declare(
        default=16_384,
        unit="bytes",
        description="Size from which records go to a new page; far below the store's "
        "limit on a value, since an append writes its page whole.",
        check=check_range(1_024, 900_000),
    )
    compact_pages: int = declare(
        default=32,
        description="Full pages from which a journal is compacted.",
        check=check_range(2, 400),
    )
    keep_ended_ms: float = declare(
        default=86_400_000.0,
        unit="ms",
        description="How long a job that ended is remembered.",
        check=check_range(0, 31_536_000_000),
    )
    write_timeout_ms: float = declare(
        default=2_000.0,
        unit="ms",
        description="How long an append looks for the fate of a lost answer.",
        check=check_range(10, 60_000),
    )
