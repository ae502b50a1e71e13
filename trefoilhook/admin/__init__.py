"""The admin API for operators: versioned JSON over HTTP, described by OpenAPI."""

from trefoilhook.admin.backend import (
    AdminBackend,
    CancelRefusal,
    CancelReport,
    ClusterStatus,
    InForceReport,
    InstanceRevision,
    InstanceStatus,
    JobBody,
    JobListing,
    JobQuery,
    JobRecord,
    JobResources,
    JobSubmission,
    ReadyReport,
    ShardStatus,
    StoreStatus,
)
from trefoilhook.admin.calls import AdminContext, Route, Scope
from trefoilhook.admin.core import AdminHandler
from trefoilhook.admin.errors import ErrorBody, ErrorDetail
from trefoilhook.admin.openapi import build_openapi
from trefoilhook.admin.routes import ROUTES

__all__ = [
    "ROUTES",
    "AdminBackend",
    "AdminHandler",
    "AdminContext",
    "CancelRefusal",
    "CancelReport",
    "ClusterStatus",
    "ErrorBody",
    "ErrorDetail",
    "InForceReport",
    "InstanceRevision",
    "InstanceStatus",
    "JobBody",
    "JobListing",
    "JobQuery",
    "JobRecord",
    "JobResources",
    "JobSubmission",
    "ReadyReport",
    "Route",
    "Scope",
    "ShardStatus",
    "StoreStatus",
    "build_openapi",
]
