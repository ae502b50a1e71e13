"""Scheduling of multi-step jobs on shared workers, without input or output."""

from trefoilhook.scheduling.advice_requests import choose_advice_request
from trefoilhook.scheduling.backlog import Backlog, measure_backlogs
from trefoilhook.scheduling.changes import (
    JobChange,
    acknowledge,
    collect_changes,
    confirm_change,
)
from trefoilhook.scheduling.copy_tracker import (
    CopyOutcome,
    CopySettlement,
    CopyStart,
)
from trefoilhook.scheduling.core import Scheduler, SchedulerLimits
from trefoilhook.scheduling.crashes import handle_worker_loss
from trefoilhook.scheduling.departures import has_left
from trefoilhook.scheduling.durations import (
    Durations,
    decode_durations,
    encode_durations,
)
from trefoilhook.scheduling.evacuation_progress import (
    EvacuatedDomain,
    measure_evacuated,
)
from trefoilhook.scheduling.evacuations import Evacuation, Evacuations
from trefoilhook.scheduling.features import Features
from trefoilhook.scheduling.fleet import (
    SLOWEST_CLOCK,
    Run,
    Worker,
    get_worker_id,
    name_incarnation,
)
from trefoilhook.scheduling.freshness import Freshness
from trefoilhook.scheduling.idle_jobs import IdleJob, select_longest
from trefoilhook.scheduling.incarnations import (
    apply_report,
    has_restarted,
    is_outdated_answer,
    resolve_incarnation,
)
from trefoilhook.scheduling.interference import (
    Interference,
    decode_interference,
    encode_interference,
)
from trefoilhook.scheduling.job_state import JobState, TaskState
from trefoilhook.scheduling.job_times import JobTimes, QueueTimes, Stage, TimeTracker
from trefoilhook.scheduling.lease_expiry import release_expired
from trefoilhook.scheduling.long_waits import (
    LongWait,
    describe_reasons,
    list_long_waits,
)
from trefoilhook.scheduling.messages import (
    AttemptEnd,
    EndKind,
    LeaseExpiry,
    LossCause,
    Order,
    OrderOutcome,
    PaceOrder,
    PollAnswer,
    Running,
    StartOrder,
    StopOrder,
    StopReason,
    Suspect,
    UnreadableRow,
    WorkerLoss,
)
from trefoilhook.scheduling.models import (
    Advice,
    Configuration,
    Demand,
    Job,
    Queue,
    Step,
    TaskId,
    WorkerReport,
    parse_task_id,
)
from trefoilhook.scheduling.outcomes import apply_start_outcome, apply_stop_outcome
from trefoilhook.scheduling.planning import (
    are_fillers_due,
    confirm_start,
    has_urgent_waiting,
    is_settled,
    list_awaited,
    plan_orders,
    plan_pending_orders,
)
from trefoilhook.scheduling.polling import (
    apply_poll_answer,
    has_fillers_beside_services,
)
from trefoilhook.scheduling.queues import KnownQueues, decode_queues
from trefoilhook.scheduling.records import (
    JobPhase,
    JobRecord,
    Progress,
    decode_job_record,
    decode_progress,
    encode_job_record,
    encode_progress,
)
from trefoilhook.scheduling.reservations import ReservationChange, Reservations
from trefoilhook.scheduling.restarts import (
    find_longest_wait,
    list_restarts,
    measure_wait,
)
from trefoilhook.scheduling.rounds import extend_lease
from trefoilhook.scheduling.shortfall import Shortfall, ShortfallCounter
from trefoilhook.scheduling.takeovers import (
    MissingEvidence,
    account_for_workers,
    are_starts_recorded,
    has_lease_limits,
    limit_leases,
    list_unreleased,
    list_unreported,
    summarize_missing_evidence,
)
from trefoilhook.scheduling.tickets import AdviceRequest, Grant
from trefoilhook.scheduling.wait_records import encode_waits, restore_waits

__all__ = [
    "select_longest",
    "account_for_workers",
    "are_fillers_due",
    "are_starts_recorded",
    "has_lease_limits",
    "limit_leases",
    "list_unreleased",
    "plan_pending_orders",
    "SLOWEST_CLOCK",
    "Advice",
    "AdviceRequest",
    "Backlog",
    "Configuration",
    "CopyOutcome",
    "CopySettlement",
    "CopyStart",
    "Demand",
    "Durations",
    "AttemptEnd",
    "EndKind",
    "EvacuatedDomain",
    "Evacuation",
    "Evacuations",
    "Features",
    "Freshness",
    "Grant",
    "Interference",
    "Job",
    "KnownQueues",
    "JobChange",
    "JobPhase",
    "JobRecord",
    "LeaseExpiry",
    "JobState",
    "JobTimes",
    "PollAnswer",
    "IdleJob",
    "LongWait",
    "LossCause",
    "Order",
    "OrderOutcome",
    "PaceOrder",
    "Progress",
    "Queue",
    "QueueTimes",
    "ReservationChange",
    "Reservations",
    "Run",
    "Running",
    "Scheduler",
    "SchedulerLimits",
    "Shortfall",
    "ShortfallCounter",
    "Stage",
    "StartOrder",
    "Step",
    "StopOrder",
    "StopReason",
    "Suspect",
    "TimeTracker",
    "UnreadableRow",
    "TaskId",
    "TaskState",
    "Worker",
    "WorkerLoss",
    "WorkerReport",
    "acknowledge",
    "confirm_start",
    "choose_advice_request",
    "collect_changes",
    "confirm_change",
    "decode_durations",
    "decode_interference",
    "decode_job_record",
    "decode_progress",
    "decode_queues",
    "describe_reasons",
    "encode_durations",
    "encode_interference",
    "encode_job_record",
    "encode_progress",
    "encode_waits",
    "extend_lease",
    "find_longest_wait",
    "is_outdated_answer",
    "is_settled",
    "list_awaited",
    "list_long_waits",
    "list_restarts",
    "list_unreported",
    "MissingEvidence",
    "summarize_missing_evidence",
    "get_worker_id",
    "name_incarnation",
    "handle_worker_loss",
    "has_left",
    "has_restarted",
    "measure_backlogs",
    "measure_evacuated",
    "measure_wait",
    "parse_task_id",
    "plan_orders",
    "release_expired",
    "resolve_incarnation",
    "restore_waits",
    "has_fillers_beside_services",
    "has_urgent_waiting",
    "apply_poll_answer",
    "apply_report",
    "apply_start_outcome",
    "apply_stop_outcome",
]
