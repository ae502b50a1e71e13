"""What a shard needs of its journal."""

from collections.abc import Sequence
from typing import Protocol

from trefoilhook.jobs.messages import JobRecord

__all__ = ["JobJournal"]


class JobJournal(Protocol):
    """The durable records of one worker shard, written by its owner alone."""

    async def load(self) -> Sequence[JobRecord]:
        """Fence out former writers and return every record, oldest first.

        Raises
        ------
        FencedError
            If a later owner has written.
        StoreUnavailableError
            If the store can't be reached.
        """

    async def append(self, records: Sequence[JobRecord]) -> None:
        """Commit records together; returns once they are durable.

        Raises
        ------
        FencedError
            If a later owner has written; these records were not committed.
        StoreUnsentError, StoreRateError
            If they were surely not committed.
        StoreUnavailableError
            If that is not known; they may be appended again.
        """
