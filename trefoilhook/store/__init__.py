"""Client of the platform's configuration store."""

from trefoilhook.store.client import StoreClient
from trefoilhook.store.core import (
    MAX_VALUE_BYTES,
    ConflictError,
    DeletedKey,
    Lease,
    StoreEntry,
    StorePage,
    SwapRequest,
    WatchBatch,
)
from trefoilhook.store.swaps import generate_nonce, swap_with_read_back

__all__ = [
    "MAX_VALUE_BYTES",
    "ConflictError",
    "DeletedKey",
    "Lease",
    "StoreClient",
    "StoreEntry",
    "StorePage",
    "SwapRequest",
    "WatchBatch",
    "generate_nonce",
    "swap_with_read_back",
]
