"""Inter-instance protocol: calls, one-way messages and heartbeats between peers."""

from trefoilhook.inner.calls import Call, CallHandler
from trefoilhook.inner.core import InnerNode
from trefoilhook.inner.peers import PeerAddress, PeerState
from trefoilhook.inner.settings import InnerSettings

__all__ = [
    "Call",
    "CallHandler",
    "InnerNode",
    "InnerSettings",
    "PeerAddress",
    "PeerState",
]
