"""Times without runs of service tasks and batch jobs over all owners, from logs."""

from trefoilhook.interruptions.core import (
    Interruption,
    InterruptionReport,
    OwnerWait,
    RunEnd,
    Wait,
)
from trefoilhook.interruptions.idle_job_text import render_idle_jobs
from trefoilhook.interruptions.idle_jobs import (
    IdleJobReport,
    IdleOwner,
    IdleStretch,
    build_idle_job_report,
)
from trefoilhook.interruptions.report import build_interruption_report
from trefoilhook.interruptions.text import render_text

__all__ = [
    "IdleJobReport",
    "IdleOwner",
    "IdleStretch",
    "build_idle_job_report",
    "render_idle_jobs",
    "Interruption",
    "InterruptionReport",
    "OwnerWait",
    "RunEnd",
    "Wait",
    "build_interruption_report",
    "render_text",
]
