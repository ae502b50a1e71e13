"""The daemon: wires the components of an instance together and runs them."""

from trefoilhook.daemon.core import Addresses, Instance
from trefoilhook.daemon.settings import DaemonSettings, LogSettings

__all__ = ["Addresses", "DaemonSettings", "Instance", "LogSettings"]
