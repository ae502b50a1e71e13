"""Records of the platform's instance list."""

import enum

import attrs

from trefoilhook.workers import Resources

__all__ = ["BackendSnapshot", "ExecutorRecord", "InstanceState", "WorkerRecord"]


class InstanceState(enum.Enum):
    """Lifecycle state of an instance: live or shutting down."""

    LIVE = "live"
    LEAVING = "leaving"


@attrs.frozen(kw_only=True)
class ExecutorRecord:
    """An executor of a backend server.

    Parameters
    ----------
    executor_id : str
        Id of the executor.
    team : str
        Team that owns the executor.
    service : str
        Service that the executor runs.
    host : str
        IP address of the executor.
    port : int
        Port of the executor.
    failure_domain : str
        Failure domain of the executor.
    slots : int, optional
        Maximum number of concurrent requests.
    state : InstanceState, optional
        Lifecycle state.
    """

    executor_id: str
    team: str
    service: str
    host: str
    port: int
    failure_domain: str
    slots: int = 8
    state: InstanceState = InstanceState.LIVE


@attrs.frozen(kw_only=True)
class WorkerRecord:
    """A worker of the platform.

    Parameters
    ----------
    worker_id : str
        Id of the worker.
    rack : str
        Rack that contains the worker.
    failure_domain : str
        Failure domain of the rack.
    host : str
        IP address of the worker.
    port : int
        Port of the worker.
    capacity : Resources
        Total resources of the worker.
    state : InstanceState, optional
        Lifecycle state.
    """

    worker_id: str
    rack: str
    failure_domain: str
    host: str
    port: int
    capacity: Resources
    state: InstanceState = InstanceState.LIVE


@attrs.frozen(kw_only=True)
class BackendSnapshot:
    """Snapshot of the instance list.

    Parameters
    ----------
    executors : tuple of ExecutorRecord
        All executors.
    workers : tuple of WorkerRecord
        All workers.
    age_ms : float
        Age of the snapshot as reported by the list, in ms.
    """

    executors: tuple[ExecutorRecord, ...]
    workers: tuple[WorkerRecord, ...]
    age_ms: float
