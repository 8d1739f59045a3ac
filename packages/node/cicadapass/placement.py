"""Place the copies of accepted requests at nodes in other data centres."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from expression import Ok, Result

from cicadapass.answers import Answer
from cicadapass.commits import Commits, commit_at_once
from cicadapass.problems import Problem
from cicadapass.requests import AcceptedRequest
from cicadapass_decisions.recovery import make_request_id
from cicadapass_decisions.types import VmId

SINGLE_NODE = "single-node"
PEER_COPY = "peer-copy"
RANDOM_BITS = 96


@dataclass(frozen=True, slots=True)
class Placement:
    """Hold the functions that place copies."""

    new_request_id: Callable[[], str]
    place: Callable[[AcceptedRequest], Result[tuple[AcceptedRequest, str], Problem]]
    commits: Callable[[AcceptedRequest, Answer], Commits]


def without_copies(own: VmId, rng: random.Random) -> Placement:
    """Keep accepted requests on this node only."""

    def new_request_id() -> str:
        return str(make_request_id(own, None, f"{rng.getrandbits(RANDOM_BITS):024x}"))

    def place(
        request: AcceptedRequest,
    ) -> Result[tuple[AcceptedRequest, str], Problem]:
        return Ok((request, SINGLE_NODE))

    def commits(request: AcceptedRequest, answer: Answer) -> Commits:
        return commit_at_once(answer)

    return Placement(new_request_id, place, commits)
