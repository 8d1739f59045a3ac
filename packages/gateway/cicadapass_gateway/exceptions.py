"""Exceptions of the gateway; their class names are also metric labels."""

# What reading a document of another writer may raise, whatever its contents.
DECODE_ERRORS = (
    ArithmeticError,
    AttributeError,
    LookupError,
    RecursionError,
    TypeError,
    ValueError,
)


class GatewayError(Exception):
    """Serve as the base of the gateway's exceptions."""


class SettingsError(GatewayError):
    """Report an invalid settings file and the values to correct."""


class ConnectFailed(GatewayError):
    """Report that no connection was opened, so that nothing was sent."""

    def __init__(self, detail: str, *, refused: bool = False) -> None:
        super().__init__(detail)
        # The host answered that nothing listens at the address.
        self.refused = refused


class PromptHeld(GatewayError):
    """Report that a segment of the prompt came under suspicion before the send."""


class UpstreamUnwilling(GatewayError):
    """Report that an upstream was found to be leaving, or paused, before the send."""


class AnswerBroken(GatewayError):
    """Report an invalid or missing response; the request may have been executed."""


class HedgeSuperseded(GatewayError):
    """Report that a hedge ended because the attempt beside it may still answer."""


class PlatformUnavailable(GatewayError):
    """Report a failed call to the platform, which may have been executed."""


class PlatformUnreached(PlatformUnavailable):
    """Report a call that failed before it was sent, so that it was not executed."""


class PlatformRefused(GatewayError):
    """Report that the platform responded with a status other than success."""

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(f"the platform responded with status {status}: {detail}")
        self.status = status


class HistoryExpired(GatewayError):
    """Report that the records at an offset were deleted; a new listing is needed."""


class OffsetConflict(GatewayError):
    """Report that another writer appended first; read its record and decide again."""
