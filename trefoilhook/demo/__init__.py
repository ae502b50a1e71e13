"""A complete system on loopback in one process: stand-ins, instances and clients."""

from trefoilhook.demo.clients import AdminClient, Answer, EntryClient
from trefoilhook.demo.cluster import (
    CLUSTER_TOKEN,
    LocalCluster,
    LocalPlan,
    LocalPlatform,
)

__all__ = [
    "CLUSTER_TOKEN",
    "AdminClient",
    "Answer",
    "EntryClient",
    "LocalCluster",
    "LocalPlan",
    "LocalPlatform",
]
