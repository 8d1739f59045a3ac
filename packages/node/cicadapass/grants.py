"""Types that request threads exchange with the dispatcher."""

from collections.abc import Callable
from dataclasses import dataclass

from cicadapass_decisions.admission import Refusal
from cicadapass_decisions.scoring import CandidateReason
from cicadapass_decisions.work import WorkClass


@dataclass(frozen=True, slots=True)
class AcquireRequest:
    """Request an upstream for one attempt; names are qualified by the fleet.

    An `accepted` request is never shed. A `hedge` is not queued: it is refused if no
    other upstream has a free slot.
    """

    request_id: str
    service: str
    workspace: str
    work: WorkClass
    deadline_s: float
    priority: int = 0
    attempt: int = 1
    prompt_tokens: int = 0
    repeatable: bool = True
    accepted: bool = False
    hedge: bool = False
    avoid: frozenset[str] = frozenset()
    blocks: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Grant:
    """Permit one attempt at an upstream, until the grant is released."""

    number: int
    request: AcquireRequest
    upstream: str
    work: WorkClass
    granted_at_s: float
    waited_s: float
    probe: bool
    reasons: tuple[CandidateReason, ...]

    @property
    def attempt(self) -> int:
        """Return the number of the attempt, which starts at 1."""
        return self.request.attempt


Settle = Callable[[Grant | Refusal], object]


class PendingRequest:
    """Associate a queued request with the callback for its grant or refusal."""

    def __init__(
        self, request: AcquireRequest, settle: Settle, queued_s: float
    ) -> None:
        self.request = request
        self.settle = settle
        self.queued_s = queued_s
