"""The path of a plain call: judged exactly as it is sent to the upstream."""

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
    """Return the service and the path with query that the upstream gets.

    The URI is that of the request line. Escapes stay as they are, but for the case of
    their digits, which the HTTP client makes upper case.
    """
    if not uri.startswith(SERVICES_PREFIX):
        return Error(not_found("this path"))
    if _UNSAFE.search(uri) or _MALFORMED_ESCAPE.search(uri):
        remedy = "escape all characters that RFC 3986 does not allow"
        return Error(malformed("the path or query is not a valid URI", remedy))
    service, _, rest = uri.removeprefix(SERVICES_PREFIX).partition("/")
    service, question_mark, query = service.partition("?")
    target = "/" + rest + question_mark + query
    path = unquote(target.partition("?")[0])
    if any(segment in (".", "..") for segment in _SEPARATORS.split(path)):
        # The client or the upstream would send or serve another path than judged.
        remedy = "send the path without dot segments"
        return Error(malformed("the path has a dot segment", remedy))
    return Ok((service, normalised_target(target)))


def normalised_target(target: str) -> str:
    """Return the target in the form in which urllib3 sends it."""
    return urllib3.util.parse_url("http://upstream" + target).request_uri
