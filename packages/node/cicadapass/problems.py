"""Problem details (RFC 9457) for callers, with a verdict on whether the call ran."""

import json
import math
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

from cicadapass_decisions.types import Verdict

VERDICT_HEADER = "Cicadapass-Verdict"
PROBLEM_TYPE_BASE = "https://cicadapass.invalid/problems/"


@dataclass(frozen=True, slots=True)
class Problem:
    """Describe why a request has no complete answer and what the caller can do."""

    name: str
    status: HTTPStatus
    detail: str
    remedy: str
    verdict: Verdict
    retry_after_s: float | None = None

    def to_json(self) -> bytes:
        """Return the body as `application/problem+json`."""
        return json.dumps(self.members()).encode()

    def members(self) -> dict[str, object]:
        """Return the members of the problem document."""
        return {
            "type": PROBLEM_TYPE_BASE + self.name,
            "title": self.name.replace("-", " "),
            "status": int(self.status),
            "detail": self.detail,
            "remedy": self.remedy,
            "verdict": str(self.verdict),
        }

    def headers(self) -> list[tuple[str, str]]:
        """Return the response headers that belong to the body."""
        headers = [
            ("Content-Type", "application/problem+json"),
            (VERDICT_HEADER, str(self.verdict)),
        ]
        if self.status is HTTPStatus.UNAUTHORIZED:
            headers.append(("WWW-Authenticate", "Bearer"))
        if self.retry_after_s is not None:
            # The header has whole seconds; rounding down would cause early retries.
            headers.append(("Retry-After", str(math.ceil(self.retry_after_s))))
        return headers


def parse_problem(members: dict[str, Any]) -> Problem:
    """Parse the members of a problem document; raise ValueError if malformed."""
    try:
        return Problem(
            str(members["title"]).replace(" ", "-"),
            HTTPStatus(int(members["status"])),
            str(members["detail"]),
            str(members["remedy"]),
            Verdict(members["verdict"]),
        )
    except (KeyError, TypeError) as error:
        raise ValueError(f"problem document is malformed: {error!r}") from error


def _not_run(name: str, status: HTTPStatus, detail: str, remedy: str) -> Problem:
    return Problem(name, status, detail, remedy, Verdict.NOT_RUN)


def unauthorized() -> Problem:
    """Return the problem of a request without a valid credential."""
    return _not_run(
        "unauthorized",
        HTTPStatus.UNAUTHORIZED,
        "the bearer credential is missing or unknown",
        "send the Authorization header with a credential of the workspace",
    )


def malformed(detail: str, remedy: str) -> Problem:
    """Return the problem of a malformed request."""
    return _not_run("malformed", HTTPStatus.BAD_REQUEST, detail, remedy)


def too_large(limit_bytes: int) -> Problem:
    """Return the problem of a body over the limit."""
    return _not_run(
        "body-too-large",
        HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        f"the body is larger than {limit_bytes} bytes",
        "send a smaller body",
    )


def slow_body() -> Problem:
    """Return the problem of a body that did not arrive in time."""
    return _not_run(
        "request-timeout",
        HTTPStatus.REQUEST_TIMEOUT,
        "the body did not arrive within the time limit",
        "send the request again over a faster connection",
    )


def not_found(subject: str) -> Problem:
    """Return the problem of a resource that does not exist for the caller."""
    return _not_run(
        "not-found",
        HTTPStatus.NOT_FOUND,
        f"{subject} does not exist for this credential",
        "check the name against the inventory and the credential's workspace",
    )


def not_ready(detail: str) -> Problem:
    """Return the problem of a request that this node cannot accept yet."""
    return Problem(
        "not-ready",
        HTTPStatus.SERVICE_UNAVAILABLE,
        detail,
        "send the request again; the balancer chooses a ready node",
        Verdict.NOT_RUN,
        retry_after_s=1.0,
    )


def internal() -> Problem:
    """Return the problem of an internal error; the call may have run."""
    return Problem(
        "internal-error",
        HTTPStatus.INTERNAL_SERVER_ERROR,
        "the node failed while it handled the request",
        "read the event log; repeat the call only if it is idempotent",
        Verdict.UNKNOWN,
    )
