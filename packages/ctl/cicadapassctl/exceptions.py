"""Errors of the command line, each with a documented exit code."""

from cicadapass_common.exceptions import CicadapassError
from cicadapassctl.exitcodes import ExitCode


class CommandError(CicadapassError):
    """A command cannot be carried out."""

    exit_code = ExitCode.USAGE


class DocumentError(CommandError):
    """A document cannot be read or is invalid."""

    exit_code = ExitCode.INVALID


class NodeError(CommandError):
    """A node did not answer, or its answer is malformed."""

    exit_code = ExitCode.UNREACHABLE

    def __init__(self, problem: str, remedy: str, address: str) -> None:
        super().__init__(problem, remedy)
        self.address = address


class LogReadError(CommandError):
    """The log cannot be read."""

    exit_code = ExitCode.UNREACHABLE


class NotFoundError(CommandError):
    """The requested object does not exist."""

    exit_code = ExitCode.NOT_FOUND
