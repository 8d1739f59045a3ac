"""Query nodes through their operator addresses."""

from collections.abc import Callable, Mapping
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from typing import Generic, TypeVar

import urllib3
from expression import Error, Ok, Result

from cicadapass_common.operator_api import parse_answer
from cicadapassctl.exceptions import NodeError

T = TypeVar("T")
# Limits the threads of one command; 380 nodes take 12 rounds.
MAX_PARALLEL_NODES = 32

Query = Mapping[str, str]
# Fetches a path with a query from one node and returns the body of its answer.
Fetch = Callable[[str, str, Query], Result[bytes, NodeError]]


@dataclass(frozen=True, slots=True)
class NodeAnswer(Generic[T]):
    """Pair an answer with the URL of its node."""

    url: str
    answer: T


@dataclass(frozen=True, slots=True)
class Answers(Generic[T]):
    """Contain the answers and failures of all nodes, in the order of the settings."""

    received: tuple[NodeAnswer[T], ...]
    failed: tuple[NodeError, ...]

    @property
    def values(self) -> tuple[T, ...]:
        """Return the answers without their URLs."""
        return tuple(node_answer.answer for node_answer in self.received)


def query_node(
    fetch: Fetch, url: str, path: str, spec: type[T], query: Query
) -> Result[T, NodeError]:
    """Return the answer of one node, or an error if it is malformed."""
    return fetch(url, path, query).bind(
        lambda body: parse_answer(body, spec).map_error(
            lambda problems: _malformed_answer(url, path, str(problems[0]))
        )
    )


def query_all(
    fetch: Fetch, urls: tuple[str, ...], path: str, spec: type[T], query: Query
) -> Answers[T]:
    """Query all nodes in parallel, up to MAX_PARALLEL_NODES at a time."""
    with ThreadPoolExecutor(max(1, min(MAX_PARALLEL_NODES, len(urls)))) as pool:
        results = list(
            pool.map(lambda url: query_node(fetch, url, path, spec, query), urls)
        )
    pairs = list(zip(urls, results, strict=True))
    return Answers(
        tuple(NodeAnswer(url, result.ok) for url, result in pairs if result.is_ok()),
        tuple(result.error for _, result in pairs if result.is_error()),
    )


def http_fetch(credential: str, timeout_s: float) -> Fetch:
    """Return a fetch over pooled connections."""
    pool = urllib3.PoolManager(maxsize=2, num_pools=MAX_PARALLEL_NODES, retries=False)
    headers = {"Authorization": f"Bearer {credential}"}
    timeout = urllib3.Timeout(total=timeout_s)

    def fetch(url: str, path: str, query: Query) -> Result[bytes, NodeError]:
        try:
            response = pool.request(
                "GET",
                url.rstrip("/") + path,
                fields=dict(query),
                headers=headers,
                timeout=timeout,
                redirect=False,
            )
        except urllib3.exceptions.HTTPError as error:
            return Error(_not_reached(url, error))
        if response.status != 200:
            return Error(_refused(url, path, response.status))
        return Ok(response.data)

    return fetch


def _not_reached(url: str, error: Exception) -> NodeError:
    problem = f"the node at {url} did not answer: {error}"
    return NodeError(problem, "check that it runs and that its address is current", url)


def _refused(url: str, path: str, status: int) -> NodeError:
    problem = f"the node at {url} answered {status} to {path}"
    if status in (401, 403):
        remedy = "set operator_credential to the nodes' credential"
    else:
        remedy = "check that the URL is the node's operator address"
    return NodeError(problem, remedy, url)


def _malformed_answer(url: str, path: str, reason: str) -> NodeError:
    problem = f"the node at {url} answered {path} in an unexpected form: {reason}"
    remedy = "check that the URL is the node's operator address"
    return NodeError(problem, remedy, url)
