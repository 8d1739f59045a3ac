"""Predict whether a request is short or long work."""

import math
from collections import OrderedDict, deque
from dataclasses import dataclass
from enum import StrEnum

from cicadapass_decisions.policy import WorkRules

# Bounds the memory of the history. Keys are few in practice, but they contain the size
# of the token limit, which callers choose.
MAX_HISTORY_KEYS = 1024
MIN_HISTORY_ANSWERS = 4


class WorkKind(StrEnum):
    """Distinguish work that must return quickly from work that may take long."""

    SHORT = "short"
    LONG = "long"


@dataclass(frozen=True, slots=True)
class WorkRequest:
    """Describe the size of a request before it runs.

    `max_tokens` is None for a call to a plain service, which counts as one token.
    """

    service: str
    workspace: str
    prompt_tokens: int = 0
    max_tokens: int | None = None
    plain: bool = False


@dataclass(frozen=True, slots=True)
class WorkClass:
    """Describe predicted work; `cost` is in generated tokens."""

    kind: WorkKind
    expected_tokens: int
    cost: float


class WorkHistory:
    """Store the token counts of recent answers; not thread-safe, it has one owner."""

    def __init__(self, rules: WorkRules) -> None:
        self._rules = rules
        self._answers: OrderedDict[tuple[str, str, int], deque[int]] = OrderedDict()

    def observe(self, request: WorkRequest, tokens: int) -> None:
        """Record the token count of a complete answer."""
        key = _key(request)
        answers = self._answers.get(key)
        if answers is None:
            answers = deque(maxlen=self._rules.history_answers)
            self._answers[key] = answers
        answers.append(tokens)
        self._answers.move_to_end(key)
        if len(self._answers) > MAX_HISTORY_KEYS:
            self._answers.popitem(last=False)

    def expected(self, request: WorkRequest) -> int | None:
        """Return the quantile of similar answers, or None with too few of them."""
        answers = self._answers.get(_key(request))
        if answers is None or len(answers) < MIN_HISTORY_ANSWERS:
            return None
        rank = math.ceil(len(answers) * self._rules.history_quantile) - 1
        return sorted(answers)[rank]


def predict(request: WorkRequest, history: WorkHistory, rules: WorkRules) -> WorkClass:
    """Return the class of the request; without history, the caller's limit counts."""
    if request.plain:
        return WorkClass(WorkKind.SHORT, 1, 1.0)
    # Without history the limit is the prediction, because long work that was predicted
    # to be short would occupy a reserved slot.
    expected = request.max_tokens or rules.default_tokens
    from_history = history.expected(request) if rules.use_history else None
    if from_history is not None:
        expected = min(from_history, request.max_tokens or from_history)
    return _classify(expected, request.prompt_tokens, rules)


def reclassify(
    current: WorkClass, generated_tokens: int, prompt_tokens: int, rules: WorkRules
) -> WorkClass:
    """Return the class of a running request; more tokens than predicted raise it."""
    if generated_tokens <= current.expected_tokens:
        return current
    return _classify(generated_tokens, prompt_tokens, rules)


def _classify(expected: int, prompt_tokens: int, rules: WorkRules) -> WorkClass:
    cost = expected + prompt_tokens * rules.prompt_token_cost
    kind = WorkKind.SHORT if cost <= rules.short_tokens else WorkKind.LONG
    return WorkClass(kind, expected, max(cost, 1.0))


def _key(request: WorkRequest) -> tuple[str, str, int]:
    # Limits are grouped by powers of two, so that similar requests share a history.
    size_class = (request.max_tokens or 0).bit_length()
    return request.service, request.workspace, size_class
