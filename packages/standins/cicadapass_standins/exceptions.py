"""Errors that end a request of a stand-in."""


class BadRequest(Exception):
    """The request cannot be understood; its message says what is wrong."""


class DropConnection(Exception):
    """Close the connection without completing the answer."""
