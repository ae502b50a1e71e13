"""HTTP/1.1 client and server: h11 for the protocol, trio for the sockets."""

from trefoilhook.http.client import Connection, HttpClient
from trefoilhook.http.core import ConnectionLoss, HttpLimits, HttpRequest, HttpResponse
from trefoilhook.http.idle import IdleLimit
from trefoilhook.http.json_client import JsonClient
from trefoilhook.http.server import HttpServer

__all__ = [
    "Connection",
    "ConnectionLoss",
    "HttpClient",
    "HttpLimits",
    "HttpRequest",
    "HttpResponse",
    "HttpServer",
    "IdleLimit",
    "JsonClient",
]
