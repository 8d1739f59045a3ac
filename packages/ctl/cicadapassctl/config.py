"""Settings of the command line."""

from dataclasses import dataclass

from cicadapass_decisions.options import option
from cicadapass_decisions.schema import URL_PATTERN

_ALLOWED_URL = "an http or https URL without user, query or fragment"


@dataclass(frozen=True, slots=True)
class Settings:
    """Contain the addresses of the log and the nodes and the time limits."""

    log_url: str = option(
        meaning="URL of the platform's log service.",
        pattern=URL_PATTERN,
        allowed=_ALLOWED_URL,
        remedy="copy it from the settings of a node",
    )
    nodes: tuple[str, ...] = option(
        meaning="URLs of the nodes' operator addresses, at least one per data centre.",
        pattern=URL_PATTERN,
        allowed=_ALLOWED_URL,
        remedy="copy the operator addresses from the settings of the nodes",
    )
    operator_credential: str = option(
        meaning="The operators' bearer credential.",
        pattern=r"^[!-~]{16,}$(?!\n)",
        allowed="at least 16 printable characters without spaces",
        remedy="create one with `cicadapassctl credential new`",
    )
    log_stream: str = option(
        "cicadapass",
        "Name of the log stream with the configuration.",
        pattern=r"^[A-Za-z0-9._-]{1,100}$(?!\n)",
        allowed="1 to 100 letters, digits, dots, underscores or hyphens",
    )
    author: str = option(
        "", "Name recorded with each publish; empty for the login name of the user."
    )
    publish_wait_s: float = option(
        16.0,
        "How long to wait until a publish is in force everywhere.",
        low=0,
        high=3600,
    )
    poll_interval_s: float = option(
        0.2, "Time between two checks whether it is in force.", low=0.01, high=60
    )
    node_timeout_s: float = option(
        3.0, "How long to wait for the answer of a node.", low=0.05, high=60
    )
