"""Where the worth of jobs and services is lost, out of logs."""

from trefoilhook.account.core import Account, Cause, JobLoss, QueueAccount, ServiceLoss
from trefoilhook.account.evacuations import EvacuationReport, list_evacuations
from trefoilhook.account.report import build_account

__all__ = [
    "Account",
    "Cause",
    "EvacuationReport",
    "JobLoss",
    "QueueAccount",
    "ServiceLoss",
    "build_account",
    "list_evacuations",
]
