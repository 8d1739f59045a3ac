"""Model requests: parsing, identity and conversion to and from copies."""

import json
from dataclasses import asdict, dataclass
from typing import Any

from expression import Error, Ok, Result

from cicadapass.problems import Problem, malformed
from cicadapass.render import AnswerFormat, AnswerHead
from cicadapass_common.copymessages import Binding, CopiedRequest
from cicadapass_decisions.types import qualify

DEFAULT_MAX_TOKENS = 256
MAX_TOKENS_LIMIT = 65_536


@dataclass(frozen=True, slots=True)
class ChatRequest:
    """Represent a parsed chat request; copies carry it by field name."""

    model: str
    prompt: str
    max_tokens: int
    seed: int
    format: AnswerFormat


@dataclass(frozen=True, slots=True)
class AcceptedRequest:
    """Represent an accepted request with all data that another node needs to run it.

    `deadline_at_s` is wall-clock time, because a copy may be used on another VM.
    """

    request_id: str
    epoch: int
    binding: Binding
    service: str
    engine_model: str
    priority: int
    created_s: int
    deadline_at_s: float
    chat: ChatRequest

    @property
    def head(self) -> AnswerHead:
        """Return the inputs of the rendering besides the tokens."""
        return AnswerHead(
            self.request_id, self.created_s, self.chat.model, self.chat.format
        )

    @property
    def qualified_service(self) -> str:
        """Return the name of the service, qualified by its fleet."""
        return qualify(self.binding.fleet, self.service)

    def to_copy(
        self, texts: tuple[str, ...] = (), *, finished: bool = False
    ) -> CopiedRequest:
        """Return the request and its tokens as a copy for another node."""
        document = {
            "engine_model": self.engine_model,
            "priority": self.priority,
            "deadline_at_s": self.deadline_at_s,
            "chat": asdict(self.chat),
        }
        return CopiedRequest(
            self.request_id,
            self.epoch,
            self.binding,
            float(self.created_s),
            self.service,
            json.dumps(document, separators=(",", ":")).encode(),
            texts,
            finished,
        )


def from_copy(copy: CopiedRequest, epoch: int) -> AcceptedRequest:
    """Return the request of a copy under a new epoch.

    Raises ValueError if the document of the copy is malformed.
    """
    try:
        document = json.loads(copy.document)
        chat = document["chat"] | {"format": AnswerFormat(document["chat"]["format"])}
        return AcceptedRequest(
            request_id=copy.request_id,
            epoch=epoch,
            binding=copy.binding,
            service=copy.service,
            engine_model=document["engine_model"],
            priority=document["priority"],
            created_s=int(copy.created_s),
            deadline_at_s=document["deadline_at_s"],
            chat=ChatRequest(**chat),
        )
    except (KeyError, TypeError) as error:
        raise ValueError(f"copy of a request is malformed: {error!r}") from error


def parse_chat(body: bytes) -> Result[ChatRequest, Problem]:
    """Parse the body of a chat completion call, or return the problem in it."""
    try:
        document = json.loads(body)
    except (ValueError, RecursionError) as error:
        return Error(malformed(f"the body is not JSON: {error}", "send a JSON object"))
    if not isinstance(document, dict):
        return Error(malformed("the body is not an object", "send a JSON object"))
    for check in (_check_model, _check_messages, _check_numbers, _check_stream):
        problem = check(document)
        if problem is not None:
            return Error(problem)
    stream = document.get("stream", False)
    return Ok(
        ChatRequest(
            model=document["model"],
            prompt=_prompt(document["messages"]),
            max_tokens=document.get("max_tokens", DEFAULT_MAX_TOKENS),
            seed=document.get("seed", 0),
            format=AnswerFormat.EVENT_STREAM if stream else AnswerFormat.JSON,
        )
    )


def _check_model(document: dict[str, Any]) -> Problem | None:
    model = document.get("model")
    if isinstance(model, str) and model:
        return None
    return malformed(
        "model is missing or not a string", "send the name of a service of the fleet"
    )


def _check_messages(document: dict[str, Any]) -> Problem | None:
    messages = document.get("messages")
    if not isinstance(messages, list) or not messages:
        return malformed("messages is missing or empty", "send at least one message")
    for index, message in enumerate(messages):
        if not _is_message(message) or not _is_unicode(message):
            return malformed(
                f"messages[{index}] has no string role and content",
                "send each message as an object with role and content in Unicode",
            )
    return None


def _is_message(message: object) -> bool:
    if not isinstance(message, dict):
        return False
    role = message.get("role")
    return isinstance(role, str) and isinstance(message.get("content"), str)


def _is_unicode(message: dict[str, str]) -> bool:
    # JSON can contain half of a surrogate pair, which a copy cannot encode.
    try:
        (message["role"] + message["content"]).encode()
    except UnicodeEncodeError:
        return False
    return True


def _check_numbers(document: dict[str, Any]) -> Problem | None:
    ranges = {"max_tokens": (1, MAX_TOKENS_LIMIT), "seed": (0, 2**63 - 1)}
    for name, (low, high) in ranges.items():
        value = document.get(name, low)
        if type(value) is not int or not low <= value <= high:
            return malformed(
                f"{name} is not a whole number from {low} to {high}",
                f"send {name} within its range or leave it out",
            )
    return None


def _check_stream(document: dict[str, Any]) -> Problem | None:
    if isinstance(document.get("stream", False), bool):
        return None
    return malformed("stream is not true or false", "send a boolean or leave it out")


def _prompt(messages: list[dict[str, str]]) -> str:
    return "\n".join(f"{message['role']}: {message['content']}" for message in messages)
