"""TLS contexts built from the settings of a listener."""

import ssl

from trefoilhook.settings import TlsSettings

__all__ = ["build_client_context", "build_server_context"]


def build_server_context(tls: TlsSettings | None) -> ssl.SSLContext | None:
    """Build the context of a listener; None for plain TCP.

    If an authority is set, clients must present a certificate that it issued.
    """
    if tls is None:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(tls.certificate_file, tls.key_file)
    if tls.authority_file is not None:
        context.load_verify_locations(tls.authority_file)
        context.verify_mode = ssl.CERT_REQUIRED
    return context


def build_client_context(tls: TlsSettings | None) -> ssl.SSLContext | None:
    """Build the context for connections to other instances; None for plain TCP."""
    if tls is None:
        return None
    context = ssl.create_default_context(
        ssl.Purpose.SERVER_AUTH, cafile=tls.authority_file
    )
    context.load_cert_chain(tls.certificate_file, tls.key_file)
    return context
