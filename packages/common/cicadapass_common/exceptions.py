"""Typed errors whose messages include a remedy."""


class CicadapassError(Exception):
    """Base class of all errors: a problem and its remedy."""

    def __init__(self, problem: str, remedy: str) -> None:
        super().__init__(f"{problem}; {remedy}")
        self.problem = problem
        self.remedy = remedy


class SettingsError(CicadapassError):
    """The settings file cannot be used."""


class FrameError(CicadapassError):
    """A frame from a peer cannot be used."""


class RecordError(CicadapassError):
    """A record of the log cannot be used."""
