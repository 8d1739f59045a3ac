"""Header filtering for plain calls: forwarded, dropped and rejected headers."""

import re
from collections.abc import Iterable, Mapping

from expression import Error, Ok, Result

from cicadapass.httpserver import Environ
from cicadapass.problems import Problem, malformed

# Headers of one connection (RFC 9110, 7.6.1), and those that concern only the node:
# `Host`, and `Expect`, which the node has answered.
HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
# The node sets these headers in responses, so those of upstreams are dropped.
NODE_HEADERS = frozenset(
    {"cicadapass-request-id", "cicadapass-verdict", "cicadapass-durability"}
)
_TOKEN = re.compile(r"[A-Za-z0-9!#$%&'*+.^_`|~-]+")
# A line end in a value would inject another header into the upstream request.
_CONTROL_CHARACTER = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")

Headers = tuple[tuple[str, str], ...]


def headers_to_upstream(environ: Environ) -> Result[Headers, Problem]:
    """Return the headers for the upstream, or a problem if one is malformed."""
    if not _TOKEN.fullmatch(environ["REQUEST_METHOD"]):
        return Error(malformed("the method is not a token", "send a valid method"))
    headers = {
        key.removeprefix("HTTP_").replace("_", "-").title(): value
        for key, value in environ.items()
        if key.startswith("HTTP_")
    }
    if environ.get("CONTENT_TYPE"):
        headers["Content-Type"] = environ["CONTENT_TYPE"]
    # The credential authenticates the caller to the node, not to the service.
    headers.pop("Authorization", None)
    for name, value in headers.items():
        if not _TOKEN.fullmatch(name) or _CONTROL_CHARACTER.search(value):
            remedy = "send names that are tokens and values without control characters"
            return Error(malformed("a header is malformed", remedy))
    return Ok(drop_hop_by_hop(headers))


def headers_from_upstream(headers: Iterable[tuple[str, str]]) -> list[tuple[str, str]]:
    """Return an upstream's response headers without those that the node sets."""
    return [
        (name, value) for name, value in headers if name.lower() not in NODE_HEADERS
    ]


def drop_hop_by_hop(headers: Mapping[str, str]) -> Headers:
    """Return the headers without hop-by-hop ones and those that Connection names."""
    connection_options = headers.get("Connection", "").lower().split(",")
    dropped = HOP_BY_HOP_HEADERS | {name.strip() for name in connection_options}
    return tuple(
        (name, value) for name, value in headers.items() if name.lower() not in dropped
    )
