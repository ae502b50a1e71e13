"""Attributes missed objectives of jobs and services to causes, from logs."""

from trefoilhook.account.core import (
    Cause,
    JobLoss,
    LossReport,
    QueueLosses,
    ServiceShortfall,
)
from trefoilhook.account.evacuations import EvacuationReport, list_evacuations
from trefoilhook.account.report import build_loss_report

__all__ = [
    "Cause",
    "EvacuationReport",
    "JobLoss",
    "LossReport",
    "QueueLosses",
    "ServiceShortfall",
    "build_loss_report",
    "list_evacuations",
]
