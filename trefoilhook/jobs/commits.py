"""Task that batches the records of a shard and commits them to the journal."""

from collections.abc import Callable, Sequence

import attrs
import trio

from trefoilhook.clock import Clock
from trefoilhook.exceptions import (
    FencedError,
    StoreError,
    StoreRateError,
    StoreUnavailableError,
    TrefoilhookError,
)
from trefoilhook.jobs.core import JobSpec
from trefoilhook.jobs.journal import JobJournal
from trefoilhook.jobs.messages import Commit, JobRecord, RecordKind
from trefoilhook.results import ResultCode

__all__ = ["STORE_RETRY_MS", "Committer"]

STORE_RETRY_MS = 200.0

OnCommitted = Callable[[Sequence[JobSpec], Sequence[Commit]], None]


@attrs.define(kw_only=True, eq=False)
class _PendingAcceptance:
    """A submitted job waiting for the commit of its acceptance record."""

    spec: JobSpec
    done: trio.Event = attrs.field(factory=trio.Event)
    error: TrefoilhookError | None = None


class Committer:
    """Writes the records of a shard to its journal in batches.

    Parameters
    ----------
    journal : JobJournal
        Journal of the shard.
    clock : Clock
        Clock.
    window_ms : float
        Minimum interval between the starts of two writes, in ms.
    on_committed : callable
        Called with the accepted jobs and the commits that are now durable.
    """

    def __init__(
        self,
        *,
        journal: JobJournal,
        clock: Clock,
        window_ms: float,
        on_committed: OnCommitted,
    ) -> None:
        self._journal = journal
        self._clock = clock
        self._window_ms = window_ms
        self._on_committed = on_committed
        self._acceptances: list[_PendingAcceptance] = []
        self._commits: list[Commit] = []
        self._work_available = trio.Event()

    async def accept(self, spec: JobSpec) -> None:
        """Record a job; returns once it is durable.

        Raises
        ------
        FencedError
            If a later owner holds the shard; the job was not recorded.
        StoreError
            If the write failed; the result code tells whether the job may be recorded.
        """
        acceptance = _PendingAcceptance(spec=spec)
        self._acceptances.append(acceptance)
        self._work_available.set()
        await acceptance.done.wait()
        if acceptance.error is not None:
            raise acceptance.error

    def add(self, commits: Sequence[Commit]) -> None:
        """Queue commits to be written with the next append."""
        if commits:
            self._commits.extend(commits)
            self._work_available.set()

    async def run(self) -> None:
        """Write all pending records in one append, repeatedly.

        Writes start at least one window apart, so an isolated record is written
        immediately and the write rate of a shard is bounded.

        Raises
        ------
        FencedError
            If a later owner holds the shard.
        """
        next_ms = self._clock.monotonic_ms()
        while True:
            await self._work_available.wait()
            await self._clock.sleep_ms(max(0.0, next_ms - self._clock.monotonic_ms()))
            next_ms = self._clock.monotonic_ms() + self._window_ms
            self._work_available = trio.Event()
            acceptances, self._acceptances = self._acceptances, []
            commits, self._commits = self._commits, []
            if acceptances or commits:
                await self._commit(acceptances, commits)

    async def _commit(
        self, acceptances: list[_PendingAcceptance], commits: list[Commit]
    ) -> None:
        """Append until it succeeds; only acceptances that were not written are dropped.

        While the outcome of an append is unknown, the same records are appended again,
        which is safe because duplicate records do not change the restored state. A
        caller whose job may be recorded is notified immediately, and the job runs if it
        was recorded.
        """
        while True:
            records = [_record_acceptance(a.spec) for a in acceptances]
            records.extend(commit.record for commit in commits)
            try:
                if records:
                    await self._journal.append(records)
                break
            except FencedError as error:
                self._fail_acceptances(acceptances, error)
                raise
            except (StoreRateError, StoreUnavailableError) as error:
                acceptances = self._handle_append_failure(acceptances, error)
            await self._clock.sleep_ms(STORE_RETRY_MS)
        self._on_committed([a.spec for a in acceptances], commits)
        for acceptance in acceptances:
            acceptance.done.set()

    def _handle_append_failure(
        self, acceptances: list[_PendingAcceptance], error: StoreError
    ) -> list[_PendingAcceptance]:
        """Report a failed append to the callers; return the acceptances to retry."""
        is_unsent = isinstance(error, StoreRateError) or getattr(
            error, "is_proved_unsent", False
        )
        if is_unsent:
            self._fail_acceptances(
                [a for a in acceptances if not a.done.is_set()], error
            )
            return [a for a in acceptances if a.error is not error]
        for acceptance in acceptances:
            if not acceptance.done.is_set():
                acceptance.error = StoreUnavailableError(
                    "the store did not confirm whether the job was recorded",
                    code=ResultCode.COMMIT_UNKNOWN,
                )
                acceptance.done.set()
        return acceptances

    def _fail_acceptances(
        self, acceptances: list[_PendingAcceptance], error: TrefoilhookError
    ) -> None:
        for acceptance in acceptances:
            acceptance.error = error
            acceptance.done.set()


def _record_acceptance(spec: JobSpec) -> JobRecord:
    return JobRecord(
        kind=RecordKind.ACCEPTED,
        job_id=spec.job_id,
        spec=spec,
        at_ms=spec.submitted_ms,
    )
