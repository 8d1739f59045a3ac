"""Stand-in for the weight store, which limits the rate of fetches."""

import threading
import time
from dataclasses import dataclass
from http import HTTPStatus

from cicadapass_standins import cmdline
from cicadapass_standins.answers import weights_content
from cicadapass_standins.faults import FaultControl
from cicadapass_standins.ratelimit import RateLimit
from cicadapass_standins.server import (
    Request,
    Response,
    json_response,
    not_found_response,
    retry_later_response,
)


@dataclass(frozen=True)
class WeightFaults:
    """Fault settings of the weight store; a rate of 0 means no limit."""

    down: bool = False
    delay_s: float = 0.0
    fetches_per_s: float = 10.0


@dataclass(frozen=True)
class WeightOptions:
    """Options of the weight store: the size of each model version."""

    size_bytes: int = 65_536


class WeightStore:
    """Serve weights over HTTP and count the fetches of each model version."""

    def __init__(self, options: WeightOptions | None = None) -> None:
        self.faults = FaultControl(WeightFaults())
        self._options = options or WeightOptions()
        self._fetch_limit = RateLimit()
        self._lock = threading.Lock()
        self._fetch_counts: dict[str, int] = {}
        self._closing = threading.Event()

    def handle(self, request: Request) -> Response:
        """Serve weights and `GET /stats`, the number of fetches by model version."""
        match (request.method, request.path_segments):
            case ("GET", ("weights", model, version)):
                return self._fetch(model, version)
            case ("GET", ("stats",)):
                return json_response({"fetches": self._fetch_counts})
        return not_found_response(request)

    def close(self) -> None:
        """Release all delayed requests."""
        self._closing.set()

    def _fetch(self, model: str, version: str) -> Response:
        faults = self.faults.current
        if faults.down:
            return retry_later_response(
                HTTPStatus.SERVICE_UNAVAILABLE, "the weight store is down"
            )
        wait_s = self._fetch_limit.admit(faults.fetches_per_s, time.monotonic())
        if wait_s > 0:
            return retry_later_response(
                HTTPStatus.TOO_MANY_REQUESTS, "fetch rate exceeded", wait_s
            )
        self._closing.wait(faults.delay_s)
        name = f"{model}/{version}"
        with self._lock:
            self._fetch_counts[name] = self._fetch_counts.get(name, 0) + 1
        content = weights_content(model, version, self._options.size_bytes)
        return Response(HTTPStatus.OK, content, content_type="application/octet-stream")


if __name__ == "__main__":
    raise SystemExit(cmdline.run("weights", WeightOptions, WeightStore))
