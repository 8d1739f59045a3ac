"""JSON documents of the operators' API, served by nodes and read by cicadapassctl.

A node answers with `options.to_document(answer)`. Readers ignore unknown keys, so a
newer node may add some.
"""

from dataclasses import dataclass
from typing import Any, TypeVar

from expression import Result

from cicadapass_common.config import settings_from_document
from cicadapass_decisions.logrecords import NO_VERSION, PublishOutcome
from cicadapass_decisions.options import option
from cicadapass_decisions.problems import Problem, parse_json

T = TypeVar("T")

STATUS_PATH = "/v1/status"
INVENTORY_PATH = "/v1/inventory"
UPSTREAMS_PATH = "/v1/upstreams"
MEMBERS_PATH = "/v1/members"
EVENTS_PATH = "/v1/events"
EXPLAIN_PATH = "/v1/explain"
TRAFFIC_PATH = "/v1/traffic"
PUBLISH_PATH = "/v1/publish"
DRAIN_PATH = "/v1/drain"


@dataclass(frozen=True, slots=True)
class NodeStatus:
    """Answer `GET /v1/status`.

    `version` is that of the inventory in force (-1 without one); `offset` is the next
    log offset that the node reads.
    """

    name: str
    fleet: str
    data_centre: str
    incarnation: str
    ready: bool
    draining: bool
    version: int = option(low=NO_VERSION)
    offset: int = 0
    requests_in_progress: int = 0
    copies_held: int = 0


@dataclass(frozen=True, slots=True)
class VerdictEntry:
    """Represent the verdict on one recent publish; `offset` is that in the log."""

    publish_id: str
    outcome: PublishOutcome
    offset: int
    version: int = option(low=NO_VERSION)
    author: str = ""


@dataclass(frozen=True, slots=True)
class InventoryAnswer:
    """Answer `GET /v1/inventory`: the state that a node has read from the log.

    `document` is null and `version` -1 while nothing is in force.
    """

    version: int = option(low=NO_VERSION)
    next_offset: int = 0
    publish_id: str = ""
    author: str = ""
    document: dict[str, Any] | None = None
    verdicts: tuple[VerdictEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class UpstreamStatus:
    """Describe one upstream as one node sees it; times are measured by the node."""

    fleet: str
    name: str
    service: str
    data_centre: str
    in_flight: int
    limit: float
    leaving: bool = False
    slow: bool = False
    failing: bool = False
    report_age_s: float | None = None
    first_token_s: float | None = None
    inter_token_s: float | None = None


@dataclass(frozen=True, slots=True)
class UpstreamsAnswer:
    """Answer `GET /v1/upstreams`."""

    node: str
    upstreams: tuple[UpstreamStatus, ...]


@dataclass(frozen=True, slots=True)
class MemberStatus:
    """Describe one member as one node sees it: `alive`, `suspected` or `gone`."""

    name: str
    incarnation: str
    fleet: str
    data_centre: str
    state: str
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class MembersAnswer:
    """Answer `GET /v1/members`."""

    node: str
    members: tuple[MemberStatus, ...]


@dataclass(frozen=True, slots=True)
class EventsAnswer:
    """Answer `GET /v1/events?request_id=&since=`; see `Event.to_document`.

    `since` is a wall time in ms; earlier events are omitted.
    """

    node: str
    events: tuple[dict[str, Any], ...]


@dataclass(frozen=True, slots=True)
class Candidate:
    """Describe the evaluation of one upstream; the lowest `cost_s` is preferred."""

    upstream: str
    usable: bool
    cost_s: float | None = None
    reasons: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class ExplainAnswer:
    """Answer `GET /v1/explain?fleet=&service=&workspace=`.

    State where a request would be sent now; `chosen` is null if it would be refused.
    """

    node: str
    chosen: str | None = None
    reasons: tuple[str, ...] = ()
    candidates: tuple[Candidate, ...] = ()


@dataclass(frozen=True, slots=True)
class KindTraffic:
    """Count the messages of one kind between nodes since the node started."""

    kind: str
    messages: int
    frame_bytes: int


@dataclass(frozen=True, slots=True)
class TrafficAnswer:
    """Answer `GET /v1/traffic`; bytes are without the transport's overhead."""

    node: str
    sent: tuple[KindTraffic, ...] = ()
    received: tuple[KindTraffic, ...] = ()


@dataclass(frozen=True, slots=True)
class PublishBody:
    """Body of `POST /v1/publish`; the same `publish_id` may be sent again."""

    publish_id: str
    author: str
    document: dict[str, Any]
    base_offset: int = option(low=NO_VERSION)


@dataclass(frozen=True, slots=True)
class PublishAnswer:
    """Answer `POST /v1/publish`; the outcome `unknown` may be sent again."""

    outcome: str = option(pattern="^(accepted|rejected|conflict|unknown)$")
    version: int = option(NO_VERSION, low=NO_VERSION)
    details: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class DrainAnswer:
    """Answer `POST /v1/drain`, whose body is empty."""

    draining: bool
    requests_in_progress: int


def parse_answer(text: str | bytes, spec: type[T]) -> Result[T, tuple[Problem, ...]]:
    """Return the answer as an instance of `spec`, or the problems of the text."""
    return parse_json(text).bind(
        lambda document: settings_from_document(document, spec, strict=False)
    )
