"""What the adapters to the platform's services share: JSON over HTTP."""

from trefoilhook.exchange.core import (
    PlatformClient,
    Query,
    build_converter,
    decode_answer,
    read_error_name,
)

__all__ = [
    "PlatformClient",
    "Query",
    "build_converter",
    "decode_answer",
    "read_error_name",
]
