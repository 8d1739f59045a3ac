"""Start the servers of the node's addresses."""

from cicadapass.config import AddressSettings, HttpSettings
from cicadapass.httpserver import HttpLimits, NodeHttpServer, TlsFiles, WsgiApp


def new_http_server(
    address: AddressSettings, app: WsgiApp, limits: HttpLimits
) -> NodeHttpServer:
    """Return the server of an address, which is not started yet."""
    return NodeHttpServer(address.host, address.port, app, limits, _tls(address))


def url_of(address: AddressSettings, port: int) -> str:
    """Return the address as a URL, with the port in use."""
    scheme = "http" if _tls(address) is None else "https"
    return f"{scheme}://{address.host}:{port}"


def caller_limits(http: HttpSettings) -> HttpLimits:
    """Return the limits towards callers that the settings give."""
    return HttpLimits(
        min_threads=http.min_threads,
        max_threads=http.max_threads,
        idle_reserve=http.idle_reserve,
        max_header_bytes=http.max_header_bytes,
        max_body_bytes=http.max_body_bytes,
        receive_timeout_s=http.receive_timeout_s,
        max_connections=http.max_connections,
    )


def _tls(address: AddressSettings) -> TlsFiles | None:
    if address.certificate is None or address.private_key is None:
        return None
    return TlsFiles(address.certificate, address.private_key)
