"""Check that a response belongs to its request and is whole."""

from cicadapass_gateway.adapterapi import ResponseInfo
from cicadapass_gateway.exceptions import AnswerBroken

# Statuses by which callers conclude that a request was not executed. They are not
# forwarded without the upstream's confirmation.
NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})
# RFC 9110, section 15: higher values are invalid.
MAX_STATUS = 599


def check_head(status: int, info: ResponseInfo, request_id: str | None) -> None:
    """Raise `AnswerBroken` unless a head is that of the response to a request."""
    # Bytes of an earlier response may precede this one on a kept connection.
    if info.request_id != request_id:
        raise AnswerBroken("the response has no id, or that of another request")
    if status > MAX_STATUS:
        raise AnswerBroken(f"status {status} is not one of HTTP")
    if status >= 300:
        return
    if not (info.sealed and info.request_id):
        raise AnswerBroken(
            "a successful response without the upstream's seal or the request id"
        )
    if info.not_executed:
        raise AnswerBroken("a successful response that denies its execution")


def check_undelimited_end(*, has_data: bool, ended_early: bool) -> None:
    """Raise `AnswerBroken` unless the end of a connection may end its response."""
    if ended_early:
        raise AnswerBroken("the connection ended before the request was sent")
    if not has_data:
        raise AnswerBroken("the connection ended before the first byte of a body")
