"""Typed records of the platform's instance list."""

import enum

import attrs

from trefoilhook.workers import Resources

__all__ = ["BackendPage", "ExecutorRecord", "InstanceState", "WorkerRecord"]


class InstanceState(enum.Enum):
    """Whether an instance stays."""

    LIVE = "live"
    LEAVING = "leaving"


@attrs.frozen(kw_only=True)
class ExecutorRecord:
    """An executor of a backend server.

    Parameters
    ----------
    executor_id : str
        Its name.
    team : str
        Team that it belongs to.
    service : str
        Service that it runs.
    host : str
        Its address, an IP number.
    port : int
        Its port.
    failure_domain : str
        Where it stands.
    slots : int, optional
        Requests that it can run at once.
    state : InstanceState, optional
        Whether it stays.
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
    """A worker.

    Parameters
    ----------
    worker_id : str
        Its name.
    rack : str
        Rack that it stands in.
    failure_domain : str
        Failure domain of the rack.
    host : str
        Its address, an IP number.
    port : int
        Its port.
    capacity : Resources
        All that it has.
    state : InstanceState, optional
        Whether it stays.
    """

    worker_id: str
    rack: str
    failure_domain: str
    host: str
    port: int
    capacity: Resources
    state: InstanceState = InstanceState.LIVE


@attrs.frozen(kw_only=True)
class BackendPage:
    """The list as it was some time ago.

    Parameters
    ----------
    executors : tuple of ExecutorRecord
        All executors.
    workers : tuple of WorkerRecord
        All workers.
    age_ms : float
        How long ago this was true, in ms, as far as the list knows.
    """

    executors: tuple[ExecutorRecord, ...]
    workers: tuple[WorkerRecord, ...]
    age_ms: float
