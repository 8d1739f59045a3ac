"""Create HTTP servers from the settings of the node's addresses."""

from cicadapass.config import AddressSettings, HttpSettings
from cicadapass.httpserver import HttpLimits, NodeHttpServer, TlsFiles, WsgiApp


def new_http_server(
    address: AddressSettings, app: WsgiApp, limits: HttpLimits
) -> NodeHttpServer:
    """Return a server for the address; the caller starts it."""
    return NodeHttpServer(address.host, address.port, app, limits, _tls(address))


def url_of(address: AddressSettings, port: int) -> str:
    """Return the address as a URL; `port` replaces the configured one."""
    scheme = "http" if _tls(address) is None else "https"
    return f"{scheme}://{address.host}:{port}"


def caller_limits(http: HttpSettings) -> HttpLimits:
    """Return the limits of the callers' server."""
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
