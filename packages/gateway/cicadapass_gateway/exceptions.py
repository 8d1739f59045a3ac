"""Errors of the gateway; each message says what happened and what helps."""


class GatewayError(Exception):
    """Be the base of the gateway's errors."""


class SettingsError(GatewayError):
    """Say that a settings file is wrong and which value to correct."""


class ConnectFailed(GatewayError):
    """Say that no connection was opened, so that nothing was sent."""


class AnswerBroken(GatewayError):
    """Say that an exchange ended without a whole answer; it may have been executed."""


class PlatformUnavailable(GatewayError):
    """Say that a call to the platform failed; it may have been executed."""


class PlatformRefused(GatewayError):
    """Say that the platform answered a call with a status other than success."""

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(f"the platform answered {status}: {detail}")
        self.status = status


class HistoryExpired(GatewayError):
    """Say that the records after an offset are gone; read the newest ones instead."""


class OffsetConflict(GatewayError):
    """Say that another writer was first; read what it wrote and decide again."""
