"""Adapter to the users' platform: its formats and calls, without any scheduling."""

from trefoilhook.platform.advice import AdviceClient
from trefoilhook.platform.core import Address, parse_address
from trefoilhook.platform.declarations import (
    CONFIGURATION_KEY,
    EVACUATION_PREFIX,
    OPERATOR_PREFIX,
    WORKER_PREFIX,
    ConfigurationDocument,
    EvacuationEntry,
    decode_configuration,
    decode_evacuation,
    decode_job,
    decode_worker_report,
)
from trefoilhook.platform.entry import (
    READINESS_PATH,
    build_pending_response,
    build_state_response,
    read_client_timeout,
)
from trefoilhook.platform.messages import (
    MAX_ROWS,
    Change,
    Changes,
    Item,
    Listing,
    Precondition,
    PreconditionError,
    Put,
    Transaction,
)
from trefoilhook.platform.settings import (
    SETTINGS_VARIABLE,
    Bounds,
    InstanceSize,
    ProcessSettings,
    parse_settings,
)
from trefoilhook.platform.store import KeyValueStore
from trefoilhook.platform.workers import PollRequest, WorkerClient

__all__ = [
    "CONFIGURATION_KEY",
    "EVACUATION_PREFIX",
    "MAX_ROWS",
    "OPERATOR_PREFIX",
    "READINESS_PATH",
    "SETTINGS_VARIABLE",
    "WORKER_PREFIX",
    "Address",
    "AdviceClient",
    "Bounds",
    "Change",
    "Changes",
    "ConfigurationDocument",
    "EvacuationEntry",
    "Precondition",
    "InstanceSize",
    "Item",
    "KeyValueStore",
    "Listing",
    "PollRequest",
    "PreconditionError",
    "ProcessSettings",
    "Put",
    "Transaction",
    "WorkerClient",
    "build_pending_response",
    "build_state_response",
    "decode_configuration",
    "decode_evacuation",
    "decode_job",
    "decode_worker_report",
    "parse_address",
    "parse_settings",
    "read_client_timeout",
]
