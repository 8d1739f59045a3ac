"""The exit codes of cicadapassctl."""

from enum import IntEnum


class ExitCode(IntEnum):
    """Say how a command ended."""

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
    ExitCode.DONE: "The command did what it was asked to do.",
    ExitCode.FAULT: "A fault of cicadapassctl itself; report what it printed.",
    ExitCode.USAGE: "The arguments or the settings have mistakes.",
    ExitCode.INVALID: "The document cannot be read or has mistakes; nothing changed.",
    ExitCode.CONFLICT: "Another publish won; nothing of this one is in force.",
    ExitCode.UNKNOWN: (
        "It is not known whether the publish took effect; run the command again with "
        "the publish id that it printed."
    ),
    ExitCode.NOT_EVERYWHERE: (
        "The publish was accepted, but within the time limit it was not seen in force "
        "in the data centres named; it will come into force there."
    ),
    ExitCode.UNREACHABLE: "Some node, or the log, did not answer as expected.",
    ExitCode.NOT_FOUND: "What was asked for does not exist.",
}
