"""Interface of the journal, as required by the shard runner."""

from collections.abc import Sequence
from typing import Protocol

from trefoilhook.jobs.messages import JobRecord

__all__ = ["JobJournal"]


class JobJournal(Protocol):
    """Durable records of one worker shard, written only by its owner."""

    async def load(self) -> Sequence[JobRecord]:
        """Fence previous writers and return all records, oldest first.

        Raises
        ------
        FencedError
            If a later owner has written.
        StoreUnavailableError
            If the store cannot be reached.
        """

    async def append(self, records: Sequence[JobRecord]) -> None:
        """Commit records; returns once they are durable.

        Raises
        ------
        FencedError
            If a later owner has written; these records were not committed.
        StoreUnsentError, StoreRateError
            If the records were certainly not committed.
        StoreUnavailableError
            If the outcome is unknown; the records may be appended again.
        """
