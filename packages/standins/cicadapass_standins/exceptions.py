"""Exceptions with which a stand-in ends a request."""


class BadRequest(Exception):
    """The request is invalid; the message is returned to the caller with status 400."""


class DropConnection(Exception):
    """Close the connection without completing the response."""
