"""Builds the report on batch jobs with nothing running from the logs of all owners."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence

import attrs

from trefoilhook.account.sizes import read_number
from trefoilhook.interruptions.core import (
    JOB_ENDED,
    NO_OWNER,
    NOT_LOGGED,
    STARTED,
    STILL_WAITING,
)
from trefoilhook.interruptions.runs import get_job
from trefoilhook.interruptions.tenures import Tenure, list_tenures
from trefoilhook.story import LogLine

__all__ = [
    "FOUND_RUNNING",
    "IdleJobReport",
    "IdleOwner",
    "IdleStretch",
    "build_idle_job_report",
]

LIMIT_S = 3.0
"""Time for which users accept that nothing of a job runs beside capacity, in s."""

FOUND_RUNNING = "found running"
"""Outcome of a stretch that only the owner saw: a previous owner had started a run."""

_IDLE_EVENTS = frozenset({"JOB_IDLE", "JOB_IDLE_ENDED"})

_JOB_ENDS = frozenset({"JOB_CANCELLED", "JOB_FINISHED"})

_PREVIOUS_OWNER = "previous owner"

_OWNER_NEW = "owner new"

_MS_PER_S = 1000.0

_TOLERANCE_S = 0.5
"""Difference of the begins up to which two lines are about the same stretch, in s."""

_MAX_SILENCE_S = 2.5
"""Time since the last line of a stretch up to which it lasts on, in s; there is one a
second unless others were longer."""


@attrs.define(kw_only=True)
class IdleOwner:
    """Share of one owner in a stretch.

    Parameters
    ----------
    epoch : int
        Epoch of the owner.
    instance : str
        Instance that was the owner.
    began_s, until_s : float
        When the owner first saw nothing running, and when a run started or its last
        line was written, in s since the Unix epoch.
    reasons_s : dict of str to float
        Time by wait reason, in s; the four longest.
    entitled_s : float
        Longest time in a row for which the conditions of the users' rule held, in s.
    idle_share : float
        Fraction of the service's processors without reservation in its last line.
    outcome : str
        `STARTED`, `FOUND_RUNNING`, `JOB_ENDED`, ``not waiting``, or empty if the
        stretch goes on after its last line.
    """

    epoch: int
    instance: str
    began_s: float
    until_s: float
    reasons_s: dict[str, float]
    entitled_s: float
    idle_share: float
    outcome: str = ""


@attrs.frozen(kw_only=True)
class IdleStretch:
    """Time for which nothing of a batch job ran although a task was due.

    Parameters
    ----------
    job, queue : str
        Ids of the job and of its queue.
    began_s, until_s, duration_s : float
        Begin and end, in s since the Unix epoch, and duration, in s.
    owners : tuple of IdleOwner
        Owners that logged it, in order.
    ownerless_s : float
        Time without an owner, in s.
    unlogged_s : float
        Time between the lines of two owners during which there was an owner, in s.
    entitled_s : float
        Longest time in a row for which the conditions of the users' rule held under one
        owner, in s.
    max_entitled_s : float
        Upper bound of that time over all owners, in s: the longest one of each owner
        and the time between owners.
    main_reason : str
        What most of the time was spent on.
    outcome : str
        As for the last owner; `STILL_WAITING` at the end of the logs, or `NOT_LOGGED`.
    """

    job: str
    queue: str
    began_s: float
    until_s: float
    duration_s: float
    owners: tuple[IdleOwner, ...]
    ownerless_s: float
    unlogged_s: float
    entitled_s: float
    max_entitled_s: float
    main_reason: str
    outcome: str


@attrs.frozen(kw_only=True)
class IdleJobReport:
    """Stretches of batch jobs with nothing running, the longest first.

    Parameters
    ----------
    stretches : tuple of IdleStretch
        The stretches.
    longest_s, longest_entitled_s, max_entitled_s : float
        Longest duration, longest entitled time under one owner, and the upper bound of
        that over all owners, in s; without those that were found running.
    over_limit : int
        Number of them whose entitled time under one owner exceeds the users' limit.
    held_over_limit : int
        Number of these that mainly waited for an earlier owner's workers, on which the
        job may have run.
    may_be_over_limit : int
        Number of the others whose upper bound exceeds it.
    reasons : dict of str to int
        Number of stretches by main reason, the most frequent first.
    unlogged_jobs : int
        Maximum number of jobs left out of the log at one time.
    lines : int
        Number of lines about idle jobs. Without any, nothing is known if a build that
        doesn't write them made the logs.
    unread : dict of str to int
        Number of skipped lines, by reason.
    """

    stretches: tuple[IdleStretch, ...]
    longest_s: float
    longest_entitled_s: float
    max_entitled_s: float
    over_limit: int
    held_over_limit: int
    may_be_over_limit: int
    reasons: dict[str, int]
    unlogged_jobs: int
    lines: int
    unread: dict[str, int]


def build_idle_job_report(
    lines: Iterable[LogLine],
    *,
    min_s: float = 0.0,
    unread: Mapping[str, int] | None = None,
) -> IdleJobReport:
    """Build the report on batch jobs with nothing running.

    Parameters
    ----------
    lines : iterable of LogLine
        Lines of all instances, in any order.
    min_s : float, optional
        Stretches that are shorter than this are left out, in s.
    unread : mapping of str to int, optional
        Number of skipped lines, by reason.
    """
    ordered = sorted(lines, key=lambda line: line.time_s)
    reader = _Reader()
    for line in ordered:
        reader.read(line)
    tenures = list_tenures(ordered)
    logged_until_s = ordered[-1].time_s if ordered else 0.0
    found = [
        _build(job, reader.queues[job], owners, tenures, logged_until_s)
        for job, parts in reader.parts.items()
        for owners in _join(parts)
    ]
    found = sorted(
        (each for each in found if each.duration_s >= min_s),
        key=lambda each: (-each.duration_s, each.job, each.began_s),
    )
    proved = [each for each in found if each.outcome != FOUND_RUNNING]
    reasons = Counter(each.main_reason for each in proved)
    return IdleJobReport(
        stretches=tuple(found),
        longest_s=max((each.duration_s for each in proved), default=0.0),
        longest_entitled_s=max((each.entitled_s for each in proved), default=0.0),
        max_entitled_s=max((each.max_entitled_s for each in proved), default=0.0),
        over_limit=sum(each.entitled_s > LIMIT_S for each in proved),
        held_over_limit=sum(
            each.entitled_s > LIMIT_S and each.main_reason == _OWNER_NEW
            for each in proved
        ),
        may_be_over_limit=sum(
            each.entitled_s <= LIMIT_S < each.max_entitled_s for each in proved
        ),
        reasons=dict(sorted(reasons.items(), key=lambda item: (-item[1], item[0]))),
        unlogged_jobs=reader.unlogged_jobs,
        lines=reader.lines,
        unread={reason: count for reason, count in (unread or {}).items() if count},
    )


@attrs.define(kw_only=True)
class _Reader:
    """Collects what each owner logged of each job.

    Attributes
    ----------
    parts : dict of str to list of IdleOwner
        By job, in order.
    queues : dict of str to str
        Queues by job.
    unlogged_jobs : int
        Maximum number of jobs left out of the log at one time.
    lines : int
        Number of lines about idle jobs.
    """

    parts: dict[str, list[IdleOwner]] = attrs.Factory(lambda: defaultdict(list))
    queues: dict[str, str] = attrs.Factory(dict)
    unlogged_jobs: int = 0
    lines: int = 0

    def read(self, line: LogLine) -> None:
        """Read the next line."""
        if line.event in _IDLE_EVENTS:
            self._read_idle(line)
        elif line.event == "TASK_STARTED":
            self._close(get_job(str(line.fields.get("task"))), line, STARTED)
        elif line.event in _JOB_ENDS:
            self._close(str(line.fields.get("job")), line, JOB_ENDED)

    def _read_idle(self, line: LogLine) -> None:
        fields = line.fields
        job, epoch = fields.get("job"), fields.get("epoch")
        if not isinstance(job, str) or not isinstance(epoch, int):
            return
        self.lines += 1
        self.queues[job] = str(fields.get("queue", ""))
        left_out = round(read_number(fields.get("unlogged_jobs")))
        self.unlogged_jobs = max(self.unlogged_jobs, left_out)
        part = _read_part(line, epoch)
        parts = self.parts[job]
        last = parts[-1] if parts else None
        if (
            last is not None
            and last.epoch == epoch
            and part.began_s <= last.began_s + _TOLERANCE_S
        ):
            part.began_s = last.began_s
            part.outcome = part.outcome or last.outcome
            parts[-1] = part
        else:
            parts.append(part)

    def _close(self, job: str, line: LogLine, outcome: str) -> None:
        """End the stretch of a job, unless a line has told of its end."""
        parts = self.parts.get(job)
        if parts and not parts[-1].outcome:
            parts[-1].outcome = outcome
            parts[-1].until_s = max(parts[-1].until_s, line.time_s)


def _read_part(line: LogLine, epoch: int) -> IdleOwner:
    fields = line.fields
    began_s, until_s = _read_times(line)
    reasons = fields.get("reasons_ms")
    has_ended = line.event == "JOB_IDLE_ENDED"
    return IdleOwner(
        epoch=epoch,
        instance=line.instance,
        began_s=began_s,
        until_s=until_s,
        reasons_s={
            reason: read_number(waited_ms) / _MS_PER_S
            for reason, waited_ms in (
                reasons.items() if isinstance(reasons, dict) else ()
            )
        },
        entitled_s=read_number(fields.get("longest_entitled_ms")) / _MS_PER_S,
        idle_share=read_number(fields.get("idle_share")),
        outcome=str(fields.get("outcome", STARTED)) if has_ended else "",
    )


def _read_times(line: LogLine) -> tuple[float, float]:
    """Return the begin and the end that a line tells, in s since the Unix epoch."""
    idle_s = read_number(line.fields.get("idle_ms")) / _MS_PER_S
    ended_s = read_number(line.fields.get("ended_ago_ms")) / _MS_PER_S
    until_s = line.time_s - ended_s
    return until_s - idle_s, until_s


def _join(parts: Iterable[IdleOwner]) -> list[list[IdleOwner]]:
    """Group the owners by stretch: one goes on if no line has told of its end."""
    stretches: list[list[IdleOwner]] = []
    for part in parts:
        last = stretches[-1][-1] if stretches else None
        if last is not None and not last.outcome and last.epoch < part.epoch:
            # What the previous owner handed on is in its own lines.
            part.reasons_s.pop(_PREVIOUS_OWNER, None)
            part.began_s = max(part.began_s, last.until_s)
            stretches[-1].append(part)
        else:
            stretches.append([part])
    return stretches


def _build(
    job: str,
    queue: str,
    owners: Sequence[IdleOwner],
    tenures: Sequence[Tenure],
    logged_until_s: float,
) -> IdleStretch:
    first, last = owners[0], owners[-1]
    ownerless_s = unlogged_s = 0.0
    for owner, following in zip(owners, owners[1:], strict=False):
        gap_s = following.began_s - owner.until_s
        owned_s = _measure_owned(tenures, owner.until_s, following.began_s)
        ownerless_s += gap_s - owned_s
        unlogged_s += owned_s
    outcome = last.outcome
    if not outcome:
        is_recent = logged_until_s - last.until_s <= _MAX_SILENCE_S
        outcome = STILL_WAITING if is_recent else NOT_LOGGED
    spent_s = Counter({NO_OWNER: ownerless_s, NOT_LOGGED: unlogged_s})
    for owner in owners:
        spent_s.update(owner.reasons_s)
    return IdleStretch(
        job=job,
        queue=queue,
        began_s=first.began_s,
        until_s=last.until_s,
        duration_s=last.until_s - first.began_s,
        owners=tuple(owners),
        ownerless_s=ownerless_s,
        unlogged_s=unlogged_s,
        entitled_s=max(owner.entitled_s for owner in owners),
        max_entitled_s=sum(owner.entitled_s for owner in owners)
        + ownerless_s
        + unlogged_s,
        main_reason=max(spent_s, key=lambda reason: spent_s[reason]),
        outcome=outcome,
    )


def _measure_owned(tenures: Iterable[Tenure], began_s: float, until_s: float) -> float:
    """Return for how long the shard had an owner within a time, in s."""
    return sum(
        max(0.0, min(until_s, tenure.ended_s) - max(began_s, tenure.began_s))
        for tenure in tenures
    )
