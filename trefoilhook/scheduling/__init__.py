"""Scheduling of multi-step jobs on shared workers, without input or output."""

from trefoilhook.scheduling.advice_requests import choose_advised
from trefoilhook.scheduling.backlog import Backlog, measure_backlogs
from trefoilhook.scheduling.changes import (
    JobChange,
    acknowledge,
    collect_changes,
    confirm_change,
)
from trefoilhook.scheduling.core import Scheduler, SchedulerLimits
from trefoilhook.scheduling.crashes import lose_worker
from trefoilhook.scheduling.evacuation_progress import (
    EvacuatedDomain,
    measure_evacuated,
)
from trefoilhook.scheduling.evacuations import Evacuation, Evacuations
from trefoilhook.scheduling.fleet import SLOWEST_CLOCK, Run, Worker
from trefoilhook.scheduling.interference import (
    Interference,
    decode_interference,
    encode_interference,
)
from trefoilhook.scheduling.job_state import JobState, TaskState
from trefoilhook.scheduling.lease_expiry import release_lapsed
from trefoilhook.scheduling.messages import (
    End,
    EndKind,
    Lapse,
    Look,
    LossCause,
    Order,
    OrderOutcome,
    PaceOrder,
    Running,
    StartOrder,
    StopOrder,
    StopReason,
    Suspect,
    UnreadRow,
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
from trefoilhook.scheduling.outcomes import take_start_outcome, take_stop_outcome
from trefoilhook.scheduling.planning import (
    begin_start,
    is_settled,
    list_unheard,
    plan_orders,
)
from trefoilhook.scheduling.polling import shares_with_services, take_look
from trefoilhook.scheduling.records import (
    JobPhase,
    JobRecord,
    Progress,
    decode_job_record,
    decode_progress,
    encode_job_record,
    encode_progress,
)
from trefoilhook.scheduling.rounds import extend_lease
from trefoilhook.scheduling.shortfall import Shortfall, ShortfallCounter
from trefoilhook.scheduling.tickets import AdviceRequest, Grant

__all__ = [
    "SLOWEST_CLOCK",
    "Advice",
    "AdviceRequest",
    "Backlog",
    "Configuration",
    "Demand",
    "End",
    "EndKind",
    "EvacuatedDomain",
    "Evacuation",
    "Evacuations",
    "Grant",
    "Interference",
    "Job",
    "JobChange",
    "JobPhase",
    "JobRecord",
    "Lapse",
    "JobState",
    "Look",
    "LossCause",
    "Order",
    "OrderOutcome",
    "PaceOrder",
    "Progress",
    "Queue",
    "Run",
    "Running",
    "Scheduler",
    "SchedulerLimits",
    "Shortfall",
    "ShortfallCounter",
    "StartOrder",
    "Step",
    "StopOrder",
    "StopReason",
    "Suspect",
    "UnreadRow",
    "TaskId",
    "TaskState",
    "Worker",
    "WorkerLoss",
    "WorkerReport",
    "acknowledge",
    "begin_start",
    "choose_advised",
    "collect_changes",
    "confirm_change",
    "decode_interference",
    "decode_job_record",
    "decode_progress",
    "encode_interference",
    "encode_job_record",
    "encode_progress",
    "extend_lease",
    "is_settled",
    "list_unheard",
    "lose_worker",
    "measure_backlogs",
    "measure_evacuated",
    "parse_task_id",
    "plan_orders",
    "release_lapsed",
    "shares_with_services",
    "take_look",
    "take_start_outcome",
    "take_stop_outcome",
]
