"""The table of a shard's idempotency keys at its owner.

A key that is in the table has a known fate. For one that is not, the rules of time
decide whether any other instance can have run it; ``docs/design/03-requests.md`` has
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
    "ActingWindow",
    "KeyRecord",
    "KeyState",
    "KeyTable",
    "Verdict",
    "VerdictKind",
]

_RECORD_BYTES = 400


class KeyState(enum.Enum):
    """What is known about a key."""

    IN_PROGRESS = "in progress"
    DONE = "done"
    DROPPED = "done, answer dropped"
    UNKNOWN = "unknown"


class VerdictKind(enum.Enum):
    """What the owner is to do with a request."""

    RUN = "run it"
    WAIT = "wait for the request in progress"
    ANSWER = "answer at once"


@attrs.frozen(kw_only=True)
class ActingWindow:
    """The keys that an owner may let in, by the time in them.

    Parameters
    ----------
    since_wall_ms : float
        Wall time after its claim succeeded, on its own clock; minus infinity if there
        was no owner before.
    skew_ms : float
        How far the wall clocks of any two instances may be apart, in ms.
    ahead_ms : float
        How far the time in a key may lie ahead of the owner's wall clock, in ms.
    """

    since_wall_ms: float
    skew_ms: float
    ahead_ms: float

    @property
    def floor_ms(self) -> float:
        """Time from which on no earlier owner can have let a key in."""
        return self.since_wall_ms + self.skew_ms + self.ahead_ms


@attrs.define(kw_only=True, eq=False)
class KeyRecord:
    """One key's fate.

    Parameters
    ----------
    key : bytes
        The key.
    minted_ms : int
        When it was minted, in ms since the Unix epoch.
    digest : bytes
        Digest of the request that came first under the key.
    state : KeyState
        What is known.
    answer : CallerAnswer or None
        The answer, once there is one and while it is kept.
    is_sent : bool
        Whether a byte of it may have left for an executor.
    finished : trio.Event
        Set once the fate is known.
    """

    key: bytes
    minted_ms: int
    digest: bytes
    state: KeyState = KeyState.IN_PROGRESS
    answer: CallerAnswer | None = None
    is_sent: bool = False
    finished: trio.Event = attrs.field(factory=trio.Event)

    @property
    def size_bytes(self) -> int:
        """Estimate of the memory that the record takes."""
        body = len(self.answer.body) if self.answer is not None else 0
        return _RECORD_BYTES + body


@attrs.frozen(kw_only=True)
class Verdict:
    """What the owner is to do with a request.

    Parameters
    ----------
    kind : VerdictKind
        What to do.
    record : KeyRecord or None
        For RUN and WAIT: the key's record.
    answer : CallerAnswer or None
        For ANSWER: what to say.
    """

    kind: VerdictKind
    record: KeyRecord | None = None
    answer: CallerAnswer | None = None


def _refuse(code: ResultCode, detail: str) -> Verdict:
    answer = CallerAnswer(code=code, detail=detail)
    return Verdict(kind=VerdictKind.ANSWER, answer=answer)


class KeyTable:
    """The keys of one shard at its owner, bounded in age and bytes.

    Parameters
    ----------
    max_age_ms : float
        Age from which a key's fate may be forgotten, in ms.
    max_bytes : int
        Most bytes of all records; answers go first, then the oldest records.
    """

    def __init__(self, *, max_age_ms: float, max_bytes: int) -> None:
        self._max_age_ms = max_age_ms
        self._max_bytes = max_bytes
        self._records: dict[bytes, KeyRecord] = {}
        self._by_age: list[tuple[int, bytes]] = []  # finished ones only
        self._answers: dict[bytes, None] = {}
        self._size_bytes = 0
        self._evicted_until_ms = -math.inf
        self._known_from_ms = math.inf

    @property
    def size_bytes(self) -> int:
        """Estimate of the memory that the table takes."""
        return self._size_bytes

    def __len__(self) -> int:
        return len(self._records)

    def begin(
        self,
        *,
        key: bytes,
        minted_ms: int,
        digest: bytes,
        wall_ms: float,
        window: ActingWindow,
    ) -> Verdict:
        """Decide about a request, and enter it if it is to be run.

        Parameters
        ----------
        key : bytes
            Its key.
        minted_ms : int
            When the key was minted, in ms since the Unix epoch.
        digest : bytes
            Digest of the request.
        wall_ms : float
            Wall time, read *before* the right to act was checked: an owner that is
            frozen in between would otherwise judge the key by a time at which
            another owns the shard.
        window : ActingWindow
            Which keys the owner may let in.
        """
        self._evict_expired(wall_ms)
        record = self._records.get(key)
        if record is not None:
            return self._check_known_key(record, digest)
        refusal = self._check_key_time(minted_ms, wall_ms, window)
        if refusal is not None:
            return refusal
        if self._size_bytes + _RECORD_BYTES > self._max_bytes:
            self._shrink()
        if self._size_bytes + _RECORD_BYTES > self._max_bytes:
            return _refuse(ResultCode.OVERLOADED, "too many keys are in progress")
        record = KeyRecord(key=key, minted_ms=minted_ms, digest=digest)
        self._add(record)
        return Verdict(kind=VerdictKind.RUN, record=record)

    def finish(self, record: KeyRecord, answer: CallerAnswer) -> None:
        """Note how a request in progress ended, and wake all who wait for it.

        A request proved not run is forgotten, so that the same key may be tried again;
        an unknown outcome stays, so that it never is.
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
            heapq.heappush(self._by_age, (record.minted_ms, record.key))
        record.finished.set()
        if self._size_bytes > self._max_bytes:
            self._shrink()

    def list_records(self) -> tuple[KeyRecord, ...]:
        """Return the records, oldest key first, for a handover."""
        records = sorted(self._records.values(), key=lambda each: each.minted_ms)
        return tuple(records)

    def get_known_from_ms(self, window: ActingWindow) -> float:
        """Return the time from which on the table knows every key that was run.

        A successor that is given it with the records needs no other floor.
        """
        floor = min(window.floor_ms, self._known_from_ms)
        return max(floor, self._evicted_until_ms)

    def import_records(self, *, known_from_ms: float, records: list[KeyRecord]) -> None:
        """Take in what a leaving owner knows.

        Parameters
        ----------
        known_from_ms : float
            Keys minted from then on that are not among the records were not run;
            infinite when the leaving owner can't say.
        records : list of KeyRecord
            The keys whose fate it knows. One still in progress becomes unknown.
        """
        self._known_from_ms = min(self._known_from_ms, known_from_ms)
        for record in records:
            if record.key in self._records:
                continue
            if record.state is KeyState.IN_PROGRESS:
                record.state = KeyState.UNKNOWN
            record.finished.set()
            self._add(record)
            heapq.heappush(self._by_age, (record.minted_ms, record.key))
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
        self, minted_ms: int, wall_ms: float, window: ActingWindow
    ) -> Verdict | None:
        # Guards against a predecessor that was frozen between its check and its send,
        # or that ran the key and died: it would be run a second time here. Whatever
        # it let in, it let in before the claim, and the time in the key was at most
        # ``ahead_ms`` past its clock then; every one of those is refused here.
        if minted_ms < self.get_known_from_ms(window):
            return _refuse(ResultCode.KEY_TOO_OLD, "minted before this owner can tell")
        # The other half of the same guard: a key whose time lies further ahead would
        # be let in by a successor as well.
        if minted_ms >= wall_ms + window.ahead_ms:
            return _refuse(ResultCode.KEY_AHEAD, "")
        return None

    def _add(self, record: KeyRecord) -> None:
        self._records[record.key] = record
        self._size_bytes += record.size_bytes

    def _evict_expired(self, wall_ms: float) -> None:
        horizon_ms = wall_ms - self._max_age_ms
        while self._by_age and self._by_age[0][0] < horizon_ms:
            self._evict_oldest()
        # Guards against a key whose fate was forgotten being run again: from the
        # first one forgotten on, everything of its age is refused. It never goes
        # back, also when the wall clock does.
        self._evicted_until_ms = max(self._evicted_until_ms, horizon_ms)

    def _evict_oldest(self) -> None:
        """Forget the finished record whose key was minted first."""
        minted_ms, key = heapq.heappop(self._by_age)
        record = self._records.pop(key)
        self._size_bytes -= record.size_bytes
        self._answers.pop(key, None)
        self._evicted_until_ms = max(self._evicted_until_ms, minted_ms + 1)

    def _shrink(self) -> None:
        """Drop answers, the earliest finished first, then the oldest records."""
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
