"""Send load from a separate process and print the results as one JSON line."""

import dataclasses
import http.client
import itertools
import json
import sys
import threading
import time
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import urlsplit

from cicadapass_bench.histograms import Latencies
from cicadapass_bench.streamload import StreamLoad

CALL_TIMEOUT_S = 30.0
NUMBER_PLACEHOLDER = "#NUMBER#"


@dataclass(frozen=True, slots=True)
class LoadSpec:
    """Describe what one load process sends, and for how long.

    `rate_per_s` is the total rate of all connections, and latencies count from the
    scheduled time; with 0, a connection sends the next call after each answer.
    `NUMBER_PLACEHOLDER` in the body is replaced by a number unique to each call.
    A `tokens_marker` selects streams, whose tokens are counted by this substring.
    """

    url: str
    path: str
    body: str
    method: str = "POST"
    headers: Mapping[str, str] = field(default_factory=dict)
    connections: int = 1
    rate_per_s: float = 0.0
    warm_up_s: float = 0.5
    duration_s: float = 2.0
    tokens_marker: str = ""


class CallLoad:
    """Send non-streamed calls over persistent connections."""

    def __init__(self, load: LoadSpec) -> None:
        self._load = load
        self._latencies = Latencies()
        self._lock = threading.Lock()
        self._failed = 0
        self._call_numbers = itertools.count(1)

    def run(self) -> dict[str, Any]:
        """Send the load; return the latencies and failures after the warm-up."""
        started_s = time.perf_counter()
        threads = [
            threading.Thread(target=self._run_connection, args=(index, started_s))
            for index in range(self._load.connections)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return {"latencies": self._latencies.encode(), "failed": self._failed}

    def _run_connection(self, index: int, started_s: float) -> None:
        load = self._load
        connection = http.client.HTTPConnection(
            urlsplit(load.url).netloc, timeout=CALL_TIMEOUT_S
        )
        interval_s = load.connections / load.rate_per_s if load.rate_per_s else 0.0
        due_s = started_s + index * interval_s / load.connections
        measure_from_s = started_s + load.warm_up_s
        end_s = measure_from_s + load.duration_s
        while due_s < end_s:
            wait_s = due_s - time.perf_counter()
            if wait_s > 0:
                time.sleep(wait_s)
            ok = self._call(connection)
            now_s = time.perf_counter()
            if due_s >= measure_from_s:
                with self._lock:
                    self._latencies.add(now_s - due_s)
                    self._failed += not ok
            due_s = due_s + interval_s if interval_s else now_s
        connection.close()

    def _call(self, connection: http.client.HTTPConnection) -> bool:
        load = self._load
        number = str(next(self._call_numbers))
        body = load.body.replace(NUMBER_PLACEHOLDER, number).encode() or None
        try:
            connection.request(load.method, load.path, body, dict(load.headers))
            response = connection.getresponse()
            response.read()
        except (OSError, http.client.HTTPException):
            # http.client opens a new connection for the next request.
            connection.close()
            return False
        return response.status == 200


def process_arguments(load: LoadSpec) -> list[str]:
    """Return the Python arguments that start a process for this load."""
    document = json.dumps(dataclasses.asdict(load))
    return ["-m", "cicadapass_bench.loadclient", document]


def main(argv: Sequence[str]) -> int:
    """Run the load described by the first argument, a JSON object."""
    load = LoadSpec(**json.loads(argv[0]))
    if load.tokens_marker:
        result = StreamLoad(
            load.url,
            request_bytes(load),
            load.connections,
            load.tokens_marker.encode(),
        ).run(load.warm_up_s, load.duration_s)
    else:
        result = CallLoad(load).run()
    print(json.dumps(result), flush=True)
    return 0


def request_bytes(load: LoadSpec) -> bytes:
    """Return the HTTP request of a stream as raw bytes."""
    body = load.body.encode()
    headers = {
        "Host": urlsplit(load.url).netloc,
        "Content-Length": str(len(body)),
        **load.headers,
    }
    lines = [f"{load.method} {load.path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode() + body


if __name__ == "__main__":
    raise SystemExit(main(sys.argv[1:]))
