"""The catalogue of log events.

Numbers are stable. ``docs/EVENTS.md`` is checked against this table by a test.
"""

import enum

__all__ = ["DECISION_EVENTS", "Event", "Level"]


class Level(enum.Enum):
    """Severity of an event, in ascending order."""

    DEBUG = "DEBUG"
    INFO = "INFO"
    WARNING = "WARNING"
    ERROR = "ERROR"


class Event(enum.Enum):
    """Every event that the system logs: number, level, description."""

    # 1000: process
    STARTED = (1000, Level.INFO, "The instance started.")
    STOPPING = (1001, Level.INFO, "The instance began a graceful shutdown.")
    STOPPED = (1002, Level.INFO, "The instance stopped.")
    TASK_FAILED = (1003, Level.ERROR, "A background task failed and is restarted.")
    HANDLER_FAILED = (1004, Level.ERROR, "The handler of a request failed.")

    LINES_DROPPED = (
        1005,
        Level.WARNING,
        "Lines were dropped: the output was not read.",
    )
    LINES_SUMMED = (1006, Level.INFO, "Count of lines over an event's rate limit.")
    RELOADED = (1007, Level.INFO, "Changed settings are in force.")
    SETTINGS_INVALID = (
        1008,
        Level.ERROR,
        "Changed settings are invalid or can't be read.",
    )
    CONNECTION_FAILED = (1009, Level.ERROR, "An exception ended an HTTP connection.")
    CONNECTION_REJECTED = (
        1010,
        Level.WARNING,
        "An HTTP connection over the limit was rejected.",
    )
    CONNECTION_STALLED = (
        1011,
        Level.WARNING,
        "A client was disconnected: it did not read its response in time.",
    )

    # 1100: store
    STORE_DOWN = (1100, Level.WARNING, "A call to the store failed: an outage began.")
    STORE_BACK = (1101, Level.INFO, "The store answers again.")
    WATCH_SILENT = (1102, Level.WARNING, "A watch went silent and is replaced.")
    LIST_DOWN = (1104, Level.WARNING, "The instance list could not be read.")
    HISTORY_LOST = (
        1105,
        Level.WARNING,
        "A watch's history was lost; keys are listed again.",
    )
    ENTRY_INVALID = (1106, Level.ERROR, "An entry of the system itself is invalid.")
    STORE_RECOVERED = (
        1107,
        Level.INFO,
        "A first step of work after the store's return is done.",
    )
    STORE_ANSWER_LONG = (
        1108,
        Level.INFO,
        "An answer of the store took over half a second to receive.",
    )

    # 1200: membership and shards
    LEASE_GRANTED = (1200, Level.INFO, "The instance holds its store lease.")
    LEASE_LOST = (1201, Level.WARNING, "The instance's store lease has expired.")
    SHARD_CLAIMED = (1202, Level.INFO, "A shard was claimed at a new epoch.")
    SHARD_RELEASED = (1203, Level.INFO, "A shard was handed over.")
    SHARD_FENCED = (1204, Level.WARNING, "A shard was lost to a newer epoch.")
    DECLARED_GONE = (1205, Level.WARNING, "An operator declared an instance gone.")
    SHARD_LOADED = (1206, Level.INFO, "A new owner has read the shard's jobs.")
    SHARD_SETTLED = (1207, Level.INFO, "A new owner knows what runs on the workers.")
    SHARD_UNSETTLED = (1208, Level.INFO, "A new owner waits for workers to report.")
    OWNER_FAILED = (1209, Level.ERROR, "The owner of a shard ended by an exception.")
    WAITS_NOT_SAVED = (
        1210,
        Level.WARNING,
        "Waiting times could not be saved for the next owner.",
    )

    # 1300: inner protocol
    LINK_UP = (1300, Level.INFO, "A link to a peer is up.")
    LINK_DOWN = (1301, Level.WARNING, "A link to a peer is down.")
    LINK_SILENT = (1302, Level.WARNING, "A link went silent and is replaced.")

    # 1400: requests
    REQUEST_FAILED = (1400, Level.WARNING, "A request ended with a failure code.")
    EXECUTOR_OPENED = (1401, Level.WARNING, "An executor's circuit opened.")
    EXECUTOR_CLOSED = (1402, Level.INFO, "An executor's circuit closed.")
    REQUEST_REFUSED = (1403, Level.INFO, "A request was refused; it was not run.")

    REQUEST_HANDLED = (
        1404,
        Level.INFO,
        "A request was answered, by the configuration version named.",
    )
    REQUEST_CUT_OFF = (
        1405,
        Level.WARNING,
        "A request had no answer, as its process ended.",
    )

    # 1500: configuration
    CONFIG_IN_FORCE = (1500, Level.INFO, "A configuration revision is in force.")
    CONFIG_STALE = (1501, Level.WARNING, "A stale configuration was ignored.")
    CONFIG_INVALID = (1502, Level.ERROR, "An invalid configuration was ignored.")
    CONFIG_CHANGED = (1503, Level.INFO, "An operator's change was accepted.")
    ADMIN_FAILED = (1504, Level.ERROR, "A call of the admin API hit an internal error.")
    BURN_UNREADABLE = (1505, Level.WARNING, "A peer's latencies can't be decoded.")
    EVACUATION_BEGUN = (
        1506,
        Level.INFO,
        "A failure domain is evacuated; nothing starts there.",
    )
    EVACUATION_ENDED = (1507, Level.INFO, "A failure domain is in use again.")
    EVACUATION_INVALID = (
        1508,
        Level.WARNING,
        "An evacuation entry is invalid; it stays in force.",
    )

    CONFIG_OUTDATED = (
        1509,
        Level.WARNING,
        "A newer configuration may be in force; requests are refused.",
    )
    CONFIG_CONFIRMED = (
        1510,
        Level.INFO,
        "The configuration is current again.",
    )

    # 1600: jobs and workers
    JOB_ACCEPTED = (1600, Level.INFO, "A job was recorded durably.")
    JOB_STARTED = (1601, Level.INFO, "A job's task was started on a worker.")
    JOB_FINISHED = (1602, Level.INFO, "A job ended.")
    JOB_EVICTED = (1603, Level.WARNING, "A task was checkpointed and evicted.")
    WORKER_LOST = (1604, Level.WARNING, "A worker can't be reached.")
    WORKER_FENCED = (1605, Level.INFO, "A worker accepted a new epoch.")
    WORKER_QUARANTINED = (
        1606,
        Level.WARNING,
        "A worker was quarantined: its tasks fail.",
    )
    JOB_CANCELLED = (1607, Level.INFO, "A client cancelled a job.")
    ORDER_FAILED = (1608, Level.WARNING, "An order to a worker was not carried out.")
    REPORT_INVALID = (
        1609,
        Level.ERROR,
        "A worker's entry is invalid; it gets no new tasks.",
    )
    TASK_STARTED = (1610, Level.INFO, "A worker confirmed the start of a task.")
    TASK_ENDED = (1611, Level.INFO, "A worker reported the end of a task.")
    TASK_STOPPED = (1612, Level.INFO, "A worker accepted an order to stop a task.")
    ADVICE_TAKEN = (1613, Level.INFO, "The advice service was asked about a step.")
    WORKER_BACK = (1614, Level.INFO, "A worker is reachable again.")
    TASK_GIVEN_UP = (1615, Level.WARNING, "A run was given up; its end is unknown.")
    QUEUE_WAITS = (1616, Level.INFO, "Tasks have waited two seconds for a worker.")
    ANSWER_INVALID = (
        1617,
        Level.ERROR,
        "A response, or a row of it, can't be decoded.",
    )
    LOSS_ATTRIBUTED = (
        1618,
        Level.WARNING,
        "Cause of a worker's loss, and suspected tasks.",
    )
    CRASH_LOOP_FOUND = (1619, Level.WARNING, "A task that crashes workers is given up.")
    SERVICE_SHORT = (1620, Level.INFO, "Tasks of a service were absent or too late.")
    EVACUATION_LEFT = (
        1621,
        Level.INFO,
        "What still runs in an evacuated failure domain.",
    )
    JOB_LATE = (1622, Level.INFO, "A job with waiting tasks missed its objective.")
    TASK_WAITS = (
        1623,
        Level.INFO,
        "Tasks of a step have waited over a second for a worker.",
    )
    PLAN_FAILED = (
        1624,
        Level.ERROR,
        "A job or the paces of a worker could not be planned; others are served.",
    )
    CALL_FAILED = (1625, Level.ERROR, "A call to a worker failed by an exception.")
    QUEUE_TIMES = (
        1626,
        Level.INFO,
        "Mean time of a queue's jobs by stage, and why they waited.",
    )
    LOOP_TIMES = (1627, Level.INFO, "Time of an owner's event loop by kind of work.")
    JOB_IDLE = (
        1628,
        Level.INFO,
        "Nothing of a batch job has run for over a second although a task is due.",
    )
    JOB_IDLE_ENDED = (
        1629,
        Level.INFO,
        "An idle batch job runs again, or no longer waits.",
    )
    WORKER_RESERVED = (1630, Level.INFO, "A worker is reserved for a waiting task.")
    RESERVATION_ENDED = (1631, Level.INFO, "A reserved worker is available again.")
    COPY_STARTED = (
        1632,
        Level.INFO,
        "A speculative task that takes unusually long got a copy.",
    )
    COPY_SETTLED = (
        1633,
        Level.INFO,
        "A speculative task with a copy ended, or one of its two runs did.",
    )

    def __init__(self, number: int, level: Level, description: str) -> None:
        self.number = number
        self.level = level
        self.description = description


DECISION_EVENTS = frozenset(
    {
        Event.SHARD_CLAIMED,
        Event.SHARD_RELEASED,
        Event.SHARD_FENCED,
        Event.REQUEST_FAILED,
        Event.REQUEST_REFUSED,
        Event.REQUEST_HANDLED,
        Event.REQUEST_CUT_OFF,
        Event.JOB_ACCEPTED,
        Event.JOB_FINISHED,
        Event.JOB_LATE,
        Event.JOB_CANCELLED,
        Event.WORKER_LOST,
        Event.WORKER_BACK,
        Event.ORDER_FAILED,
        Event.TASK_STARTED,
        Event.TASK_ENDED,
        Event.TASK_STOPPED,
        Event.TASK_GIVEN_UP,
        Event.COPY_STARTED,
        Event.COPY_SETTLED,
        Event.LOSS_ATTRIBUTED,
        Event.CRASH_LOOP_FOUND,
    }
)
"""Events that record a decision about one job, task, worker or shard, or its evidence.
No later line repeats them, and a count of suppressed ones would not explain a failed
request, so that they have a higher rate limit."""
