"""Compaction of journal records."""

from collections.abc import Iterable, Sequence

from trefoilhook.jobs import JobRecord, RecordKind

__all__ = ["compact_records"]


def compact_records(
    records: Sequence[JobRecord], *, ended_after_ms: float
) -> list[JobRecord]:
    """Drop records that are superseded by later ones.

    Parameters
    ----------
    records : sequence of JobRecord
        Records, oldest first.
    ended_after_ms : float
        Time before which ended jobs are dropped, in ms since the Unix epoch.

    Returns
    -------
    list of JobRecord
        Records that restore to the same state, oldest first.
    """
    ended = {r.job_id: r for r in records if r.kind is RecordKind.ENDED}
    expired = {job_id for job_id, r in ended.items() if r.at_ms < ended_after_ms}
    latest = _find_latest(records)
    kept: list[JobRecord] = []
    seen: set[str] = set()
    for record in records:
        if record.job_id in expired:
            continue
        if record.kind is RecordKind.ACCEPTED:
            is_kept = record.job_id not in seen
            seen.add(record.job_id)
        else:
            is_latest = latest[_build_subject_key(record)] is record
            is_kept = is_latest and _is_needed(record, ended)
        if is_kept:
            kept.append(record)
    return kept


def _build_subject_key(record: JobRecord) -> tuple[str, str]:
    """Return the subject of a record; later records of a subject supersede it."""
    if record.kind in (RecordKind.WORKER_ADDED, RecordKind.WORKER_REMOVED):
        return ("worker", record.worker_id)
    return (record.kind.value, record.job_id)


def _find_latest(records: Iterable[JobRecord]) -> dict[tuple[str, str], JobRecord]:
    return {_build_subject_key(record): record for record in records}


def _is_needed(record: JobRecord, ended: dict[str, JobRecord]) -> bool:
    if record.kind is RecordKind.WORKER_REMOVED:
        return False
    if record.kind in (RecordKind.ENDED, RecordKind.WORKER_ADDED):
        return True
    return record.job_id not in ended
