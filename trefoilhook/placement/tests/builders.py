"""Builders of workers, tasks and shard states for the tests."""

from trefoilhook.placement import (
    Resources,
    ShardState,
    TaskKind,
    TaskShape,
    WorkerShape,
)

GIB = 2**30


def build_worker(number=0, *, cores=32.0, accelerators=0):
    """Build a worker; eight share a rack, racks alternate over three domains."""
    return WorkerShape(
        worker_id=f"worker-{number}",
        rack=f"rack-{number // 8}",
        failure_domain=f"domain-{number // 8 % 3}",
        capacity=Resources(
            cores=cores, memory_bytes=125 * GIB, accelerators=accelerators
        ),
    )


def build_state(count=1, **sizes):
    """Build the state of a shard of identical workers."""
    state = ShardState()
    for number in range(count):
        state.add_worker(build_worker(number, **sizes))
    return state


def build_task(
    task_id="task",
    *,
    kind=TaskKind.BATCH,
    cores=4.0,
    memory_bytes=4 * GIB,
    accelerators=0,
    urgent=False,
    team="rosters",
    task_class="roster-build",
    declared_run_ms=600_000.0,
    service_target=None,
):
    """Build a task declaration."""
    return TaskShape(
        task_id=task_id,
        team=team,
        task_class=task_class,
        kind=kind,
        urgent=urgent,
        resources=Resources(
            cores=cores, memory_bytes=memory_bytes, accelerators=accelerators
        ),
        declared_run_ms=declared_run_ms,
        service_target=service_target,
    )


def run_task(state, task, worker_id="worker-0", now_ms=0.0):
    """Reserve resources for a task and confirm its start."""
    state.reserve(task, worker_id, now_ms)
    state.confirm_started(task.task_id, now_ms)
    return state.tasks[task.task_id]
