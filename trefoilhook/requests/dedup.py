"""Table of a shard's idempotency keys at its owner.

The table records the state of each known key. For an unknown key, the time in it
decides whether another instance can have run it; ``docs/design/03-requests.md`` has
the proof that at most one owner ever runs a key.
"""

import enum
import heapq
import math

import attrs
import trio

from trefoilhook.requests.models import CallerAnswer
from trefoilhook.results import Outcome, ResultCode

__all__ = [
    "KeyTimeWindow",
    "KeyRecord",
    "KeyState",
    "KeyTable",
    "Verdict",
    "VerdictKind",
]

_RECORD_BYTES = 400


class KeyState(enum.Enum):
    """State of a key."""

    IN_PROGRESS = "in progress"
    DONE = "done"
    DROPPED = "done, answer dropped"
    UNKNOWN = "unknown"


class VerdictKind(enum.Enum):
    """How the owner handles a request."""

    RUN = "run it"
    WAIT = "wait for the request in progress"
    ANSWER = "answer at once"


@attrs.frozen(kw_only=True)
class KeyTimeWindow:
    """Range of key times that an owner accepts.

    Parameters
    ----------
    since_wall_ms : float
        Wall time on the owner's clock, read after its claim succeeded; minus infinity
        if there was no owner before.
    max_clock_skew_ms : float
        Maximum difference between the wall clocks of two instances, in ms.
    max_ahead_ms : float
        Maximum time by which a key may be ahead of the owner's wall clock, in ms.
    """

    since_wall_ms: float
    max_clock_skew_ms: float
    max_ahead_ms: float

    @property
    def floor_ms(self) -> float:
        """Key time from which no previous owner can have accepted a key."""
        return self.since_wall_ms + self.max_clock_skew_ms + self.max_ahead_ms


@attrs.define(kw_only=True, eq=False)
class KeyRecord:
    """Record of one key.

    Parameters
    ----------
    key : bytes
        The key.
    created_ms : int
        Creation time of the key, in ms since the Unix epoch.
    digest : bytes
        Digest of the first request with the key.
    state : KeyState
        State of the key.
    answer : CallerAnswer or None
        The answer, from its arrival until it is dropped.
    is_sent : bool
        Whether any byte of the request may have been sent to an executor.
    finished : trio.Event
        Set once the request has ended.
    """

    key: bytes
    created_ms: int
    digest: bytes
    state: KeyState = KeyState.IN_PROGRESS
    answer: CallerAnswer | None = None
    is_sent: bool = False
    finished: trio.Event = attrs.field(factory=trio.Event)

    @property
    def size_bytes(self) -> int:
        """Estimated memory use of the record, in bytes."""
        body = len(self.answer.body) if self.answer is not None else 0
        return _RECORD_BYTES + body


@attrs.frozen(kw_only=True)
class Verdict:
    """Decision of the key table about a request.

    Parameters
    ----------
    kind : VerdictKind
        How the request is handled.
    record : KeyRecord or None
        Record of the key, for RUN and WAIT.
    answer : CallerAnswer or None
        The answer to return, for ANSWER.
    """

    kind: VerdictKind
    record: KeyRecord | None = None
    answer: CallerAnswer | None = None


def _refuse(code: ResultCode, detail: str) -> Verdict:
    answer = CallerAnswer(code=code, detail=detail)
    return Verdict(kind=VerdictKind.ANSWER, answer=answer)


class KeyTable:
    """Keys of one shard at its owner, limited in age and memory.

    Parameters
    ----------
    max_age_ms : float
        Age beyond which the record of a key may be evicted, in ms.
    max_bytes : int
        Maximum size of all records; answers are evicted first, then the oldest
        records.
    """

    def __init__(self, *, max_age_ms: float, max_bytes: int) -> None:
        self._max_age_ms = max_age_ms
        self._max_bytes = max_bytes
        self._records: dict[bytes, KeyRecord] = {}
        self._by_age: list[tuple[int, bytes]] = []  # heap of the finished keys
        self._answers: dict[bytes, None] = {}
        self._size_bytes = 0
        self._evicted_until_ms = -math.inf
        self._known_from_ms = math.inf

    @property
    def size_bytes(self) -> int:
        """Estimated memory use of the table, in bytes."""
        return self._size_bytes

    def __len__(self) -> int:
        return len(self._records)

    def begin(
        self,
        *,
        key: bytes,
        created_ms: int,
        digest: bytes,
        wall_ms: float,
        window: KeyTimeWindow,
    ) -> Verdict:
        """Decide how to handle a request, and add its key if it is to be run.

        Parameters
        ----------
        key : bytes
            Key of the request.
        created_ms : int
            Creation time of the key, in ms since the Unix epoch.
        digest : bytes
            Digest of the request.
        wall_ms : float
            Wall time, read *before* ownership was checked. If the process is suspended
            in between, a later reading could fall into the time of another owner.
        window : KeyTimeWindow
            Range of key times that the owner accepts.
        """
        self._evict_expired(wall_ms)
        record = self._records.get(key)
        if record is not None:
            return self._check_known_key(record, digest)
        refusal = self._check_key_time(created_ms, wall_ms, window)
        if refusal is not None:
            return refusal
        if self._size_bytes + _RECORD_BYTES > self._max_bytes:
            self._shrink()
        if self._size_bytes + _RECORD_BYTES > self._max_bytes:
            return _refuse(ResultCode.OVERLOADED, "too many keys are in progress")
        record = KeyRecord(key=key, created_ms=created_ms, digest=digest)
        self._add(record)
        return Verdict(kind=VerdictKind.RUN, record=record)

    def finish(self, record: KeyRecord, answer: CallerAnswer) -> None:
        """Record the answer to a request in progress and wake all its waiters.

        The key of a request that was certainly not run is removed, so that it may be
        retried. A key with an unknown outcome stays, so that it never runs again.
        """
        if self._records.get(record.key) is not record:
            record.answer = answer
            record.finished.set()
            return
        self._size_bytes -= record.size_bytes
        record.answer = answer
        if answer.code.outcome is Outcome.NOT_RUN:
            del self._records[record.key]
        else:
            is_executed = answer.code.outcome is Outcome.EXECUTED
            record.state = KeyState.DONE if is_executed else KeyState.UNKNOWN
            self._size_bytes += record.size_bytes
            self._answers[record.key] = None
            heapq.heappush(self._by_age, (record.created_ms, record.key))
        record.finished.set()
        if self._size_bytes > self._max_bytes:
            self._shrink()

    def list_records(self) -> tuple[KeyRecord, ...]:
        """Return the records for a handover, oldest key first."""
        records = sorted(self._records.values(), key=lambda each: each.created_ms)
        return tuple(records)

    def get_known_from_ms(self, window: KeyTimeWindow) -> float:
        """Return the key time from which the table contains every key that was run.

        The next owner can use it as its lower bound if it also receives the records.
        """
        floor = min(window.floor_ms, self._known_from_ms)
        return max(floor, self._evicted_until_ms)

    def import_records(self, *, known_from_ms: float, records: list[KeyRecord]) -> None:
        """Import the records of a previous owner.

        Parameters
        ----------
        known_from_ms : float
            Key time from which every key that was run is among the records; infinite
            if unknown.
        records : list of KeyRecord
            Records of the previous owner. A request in progress becomes unknown.
        """
        self._known_from_ms = min(self._known_from_ms, known_from_ms)
        for record in records:
            if record.key in self._records:
                continue
            if record.state is KeyState.IN_PROGRESS:
                record.state = KeyState.UNKNOWN
            record.finished.set()
            self._add(record)
            heapq.heappush(self._by_age, (record.created_ms, record.key))
            if record.answer is not None:
                self._answers[record.key] = None
        if self._size_bytes > self._max_bytes:
            self._shrink()

    def _check_known_key(self, record: KeyRecord, digest: bytes) -> Verdict:
        if record.digest != digest:
            return _refuse(ResultCode.KEY_REUSED, "")
        if record.state is KeyState.IN_PROGRESS:
            return Verdict(kind=VerdictKind.WAIT, record=record)
        if record.state is KeyState.UNKNOWN:
            return _refuse(ResultCode.OUTCOME_UNKNOWN, "")
        if record.answer is None:
            return _refuse(ResultCode.ANSWER_DROPPED, "")
        code = record.answer.code
        code = ResultCode.REPLAYED if code is ResultCode.OK else code
        answer = attrs.evolve(record.answer, code=code)
        return Verdict(kind=VerdictKind.ANSWER, answer=answer)

    def _check_key_time(
        self, created_ms: int, wall_ms: float, window: KeyTimeWindow
    ) -> Verdict | None:
        # A previous owner may have run the key before it crashed, or may be suspended
        # between its check and its send. It accepted every such key before the claim,
        # with a key time at most ``max_ahead_ms`` past its clock, so all of them are
        # below the bound and are refused here.
        if created_ms < self.get_known_from_ms(window):
            return _refuse(ResultCode.KEY_TOO_OLD, "minted before this owner can tell")
        # Conversely, a key that is further ahead could be accepted by the next owner
        # as well.
        if created_ms >= wall_ms + window.max_ahead_ms:
            return _refuse(ResultCode.KEY_AHEAD, "")
        return None

    def _add(self, record: KeyRecord) -> None:
        self._records[record.key] = record
        self._size_bytes += record.size_bytes

    def _evict_expired(self, wall_ms: float) -> None:
        horizon_ms = wall_ms - self._max_age_ms
        while self._by_age and self._by_age[0][0] < horizon_ms:
            self._evict_oldest()
        # Keys as old as an evicted one are refused, so that an evicted key never runs
        # again. The bound never decreases, even if the wall clock is set back.
        self._evicted_until_ms = max(self._evicted_until_ms, horizon_ms)

    def _evict_oldest(self) -> None:
        """Evict the finished record with the oldest key."""
        created_ms, key = heapq.heappop(self._by_age)
        record = self._records.pop(key)
        self._size_bytes -= record.size_bytes
        self._answers.pop(key, None)
        self._evicted_until_ms = max(self._evicted_until_ms, created_ms + 1)

    def _shrink(self) -> None:
        """Evict the answers that finished first, then the oldest records.

        Evicts until the table uses at most half of its maximum size.
        """
        while self._answers and self._size_bytes > self._max_bytes // 2:
            key = next(iter(self._answers))
            del self._answers[key]
            record = self._records.get(key)
            if record is None or record.answer is None:
                continue
            self._size_bytes -= record.size_bytes
            record.answer = None
            if record.state is KeyState.DONE:
                record.state = KeyState.DROPPED
            self._size_bytes += record.size_bytes
        while self._by_age and self._size_bytes > self._max_bytes // 2:
            self._evict_oldest()
