"""The task that records what a shard accepts and learns."""

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

__all__ = ["RETRY_MS", "Committer"]

RETRY_MS = 200.0

OnCommitted = Callable[[Sequence[JobSpec], Sequence[Commit]], None]


@attrs.define(kw_only=True, eq=False)
class _Acceptance:
    """A submitted job that waits for its commit."""

    spec: JobSpec
    done: trio.Event = attrs.field(factory=trio.Event)
    error: TrefoilhookError | None = None


class Committer:
    """Writes to a shard's journal, many records at a time.

    Parameters
    ----------
    journal : JobJournal
        The journal.
    clock : Clock
        Time.
    window_ms : float
        Least time between the beginnings of two writes, in ms.
    on_committed : callable
        Told the jobs that are now accepted and the commits that are now durable.
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
        self._acceptances: list[_Acceptance] = []
        self._commits: list[Commit] = []
        self._wanted = trio.Event()

    async def accept(self, spec: JobSpec) -> None:
        """Record a job; returns once it is durable.

        Raises
        ------
        FencedError
            If a later owner has the shard; the job was not recorded.
        StoreError
            If it could not be recorded; the code tells whether that is sure.
        """
        acceptance = _Acceptance(spec=spec)
        self._acceptances.append(acceptance)
        self._wanted.set()
        await acceptance.done.wait()
        if acceptance.error is not None:
            raise acceptance.error

    def add(self, commits: Sequence[Commit]) -> None:
        """Take commits in, to be written with the next append."""
        if commits:
            self._commits.extend(commits)
            self._wanted.set()

    async def run(self) -> None:
        """Write what waits, all of it in one append, then what came meanwhile.

        A window passes between the beginnings of two writes, so a lone record is
        written at once and a shard never writes more often than the window allows.

        Raises
        ------
        FencedError
            If a later owner has the shard.
        """
        next_ms = self._clock.monotonic_ms()
        while True:
            await self._wanted.wait()
            await self._clock.sleep_ms(max(0.0, next_ms - self._clock.monotonic_ms()))
            next_ms = self._clock.monotonic_ms() + self._window_ms
            self._wanted = trio.Event()
            acceptances, self._acceptances = self._acceptances, []
            commits, self._commits = self._commits, []
            if acceptances or commits:
                await self._commit(acceptances, commits)

    async def _commit(
        self, acceptances: list[_Acceptance], commits: list[Commit]
    ) -> None:
        """Append until it is done; only acceptances are given up, when surely unsaid.

        While the outcome of an append is not known the same records are appended again:
        the journal takes a record once. A caller whose job may be recorded is told so
        at once, and the job runs when it turns out to be.
        """
        while True:
            records = [_record_acceptance(a.spec) for a in acceptances]
            records.extend(commit.record for commit in commits)
            try:
                if records:
                    await self._journal.append(records)
                break
            except FencedError as error:
                self._refuse(acceptances, error)
                raise
            except (StoreRateError, StoreUnavailableError) as error:
                acceptances = self._judge_failure(acceptances, error)
            await self._clock.sleep_ms(RETRY_MS)
        self._on_committed([a.spec for a in acceptances], commits)
        for acceptance in acceptances:
            acceptance.done.set()

    def _judge_failure(
        self, acceptances: list[_Acceptance], error: StoreError
    ) -> list[_Acceptance]:
        """Return the acceptances to append again."""
        is_unsent = isinstance(error, StoreRateError) or getattr(
            error, "is_proved_unsent", False
        )
        if is_unsent:
            self._refuse([a for a in acceptances if not a.done.is_set()], error)
            return [a for a in acceptances if a.error is not error]
        for acceptance in acceptances:
            if not acceptance.done.is_set():
                acceptance.error = StoreUnavailableError(
                    "the store didn't say whether the job is recorded",
                    code=ResultCode.COMMIT_UNKNOWN,
                )
                acceptance.done.set()
        return acceptances

    def _refuse(self, acceptances: list[_Acceptance], error: TrefoilhookError) -> None:
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
