"""Builders of groups, places and ledgers."""

from trefoilhook.takeover import Member, Place, PlaceLedger, WorkerGroups

__all__ = ["build_groups", "build_place", "find_job", "record"]


def build_groups(*names: str, epoch: int = 1, count: int = 2) -> WorkerGroups:
    """Return groups with a worker in each of the first slots."""
    return WorkerGroups(
        epoch=epoch,
        count=count,
        members={
            slot: Member(name=name, address=f"{name}:1")
            for slot, name in enumerate(names)
        },
    )


def build_place(task: str, attempt: int = 1, worker: str = "a") -> Place:
    """Return a place."""
    return Place(task=task, attempt=attempt, worker=worker)


def find_job(groups: WorkerGroups, group: int) -> str:
    """Return the id of a job of a group."""
    return next(
        job_id for job_id in map(str, range(1000)) if groups.find_group(job_id) == group
    )


def record(ledger: PlaceLedger, *places: Place, max_removals: int = 29) -> None:
    """Write places, and confirm the write."""
    for place in places:
        ledger.request(place)
    ledger.build_write(0.0, max_removals=max_removals)
    ledger.confirm()
