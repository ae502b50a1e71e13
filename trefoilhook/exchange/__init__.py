"""JSON over HTTP, shared by the clients of the platform's services."""

from trefoilhook.exchange.core import (
    PlatformClient,
    Query,
    build_converter,
    decode_response,
    parse_error_name,
)

__all__ = [
    "PlatformClient",
    "Query",
    "build_converter",
    "decode_response",
    "parse_error_name",
]
