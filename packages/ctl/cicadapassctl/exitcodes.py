"""The exit codes of cicadapassctl."""

from enum import IntEnum


class ExitCode(IntEnum):
    """Report how a command ended."""

    DONE = 0
    FAULT = 1
    USAGE = 2
    INVALID = 3
    CONFLICT = 4
    UNKNOWN = 5
    NOT_EVERYWHERE = 6
    UNREACHABLE = 7
    NOT_FOUND = 8


MEANINGS: dict[ExitCode, str] = {
    ExitCode.DONE: "The command succeeded.",
    ExitCode.FAULT: "An internal error of cicadapassctl; report its output.",
    ExitCode.USAGE: "The arguments or the settings are invalid.",
    ExitCode.INVALID: "The document cannot be read or is invalid; nothing changed.",
    ExitCode.CONFLICT: "Another publish was accepted first; this one has no effect.",
    ExitCode.UNKNOWN: (
        "It is unknown whether the publish took effect; run the command again with the "
        "printed publish id."
    ),
    ExitCode.NOT_EVERYWHERE: (
        "The publish was accepted, but was not observed in force in the named data "
        "centres within the time limit; it will come into force there."
    ),
    ExitCode.UNREACHABLE: "A node or the log did not answer as expected.",
    ExitCode.NOT_FOUND: "The requested object does not exist.",
}
