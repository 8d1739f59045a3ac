"""Path of a plain call: access rules see exactly what is sent to the upstream."""

import re
from urllib.parse import unquote

import urllib3
from expression import Error, Ok, Result

from cicadapass.problems import Problem, malformed, not_found

SERVICES_PREFIX = "/v1/services/"
_MALFORMED_ESCAPE = re.compile(r"%(?![0-9A-Fa-f]{2})")
_UNSAFE = re.compile(r"[^\x21-\x7e]|#")
_SEPARATORS = re.compile(r"[/\\]")


def plain_target(uri: str) -> Result[tuple[str, str], Problem]:
    """Split the URI of a request line into the service and the upstream's path.

    The path includes the query. Escapes are not decoded; only their digits become
    upper case, as the HTTP client sends them.
    """
    if not uri.startswith(SERVICES_PREFIX):
        return Error(not_found("this path"))
    if _UNSAFE.search(uri) or _MALFORMED_ESCAPE.search(uri):
        remedy = "escape all characters that RFC 3986 does not allow"
        return Error(malformed("the path or query is not a valid URI", remedy))
    service, _, path_and_query = uri.removeprefix(SERVICES_PREFIX).partition("/")
    service, question_mark, query = service.partition("?")
    target = "/" + path_and_query + question_mark + query
    path = unquote(target.partition("?")[0])
    if any(segment in (".", "..") for segment in _SEPARATORS.split(path)):
        # The client or the upstream would resolve them to another path than the rules
        # were applied to.
        remedy = "send the path without dot segments"
        return Error(malformed("the path has a dot segment", remedy))
    return Ok((service, normalised_target(target)))


def normalised_target(target: str) -> str:
    """Return the path and query as urllib3 sends them."""
    return urllib3.util.parse_url("http://upstream" + target).request_uri
