"""Where the worth of jobs and services is lost, out of logs."""

from trefoilhook.account.core import Account, Cause, JobLoss, QueueAccount, ServiceLoss
from trefoilhook.account.report import build_account

__all__ = [
    "Account",
    "Cause",
    "JobLoss",
    "QueueAccount",
    "ServiceLoss",
    "build_account",
]
