"""Decide when the tokens of an answer may be delivered."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from cicadapass.answers import Answer


@dataclass(frozen=True, slots=True)
class Commits:
    """Tell the holder of the copy of new tokens and of the end."""

    tokens_added: Callable[[int, Sequence[str]], None]
    finished: Callable[[], None]


def commit_at_once(answer: Answer) -> Commits:
    """Deliver tokens without a copy, for a request that no other node holds."""

    def tokens_added(first: int, texts: Sequence[str]) -> None:
        answer.commit(first + len(texts))

    return Commits(tokens_added, answer.end)
