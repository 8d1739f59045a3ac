"""Errors of the command line; each leads to a documented exit code."""

from cicadapass_common.exceptions import CicadapassError
from cicadapassctl.exitcodes import ExitCode


class CommandError(CicadapassError):
    """A command cannot be carried out."""

    exit_code = ExitCode.USAGE


class DocumentError(CommandError):
    """A document cannot be read or has mistakes."""

    exit_code = ExitCode.INVALID


class NodeError(CommandError):
    """A node did not answer, or not in the expected form."""

    exit_code = ExitCode.UNREACHABLE

    def __init__(self, problem: str, remedy: str, address: str) -> None:
        super().__init__(problem, remedy)
        self.address = address


class LogReadError(CommandError):
    """The log did not answer."""

    exit_code = ExitCode.UNREACHABLE


class NotFoundError(CommandError):
    """What was asked for does not exist."""

    exit_code = ExitCode.NOT_FOUND
