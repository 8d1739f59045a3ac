"""The weight store, which limits how often weights are fetched."""

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
    """Faults of the weight store; a rate of 0 is no limit."""

    down: bool = False
    delay_s: float = 0.0
    fetches_per_s: float = 10.0


@dataclass(frozen=True)
class WeightOptions:
    """The size of each model version."""

    size_bytes: int = 65_536


class WeightStore:
    """The weight store's HTTP interface."""

    def __init__(self, options: WeightOptions | None = None) -> None:
        self.faults = FaultControl(WeightFaults())
        self._options = options or WeightOptions()
        self._fetch_limit = RateLimit()
        self._lock = threading.Lock()
        self._fetch_counts: dict[str, int] = {}
        self._closing = threading.Event()

    def handle(self, request: Request) -> Response:
        """Serve weights and the number of fetches."""
        match (request.method, request.path_segments):
            case ("GET", ("weights", model, version)):
                return self._fetch(model, version)
            case ("GET", ("stats",)):
                return json_response({"fetches": self._fetch_counts})
        return not_found_response(request)

    def close(self) -> None:
        """End delayed answers."""
        self._closing.set()

    def _fetch(self, model: str, version: str) -> Response:
        faults = self.faults.current
        if faults.down:
            return retry_later_response(
                HTTPStatus.SERVICE_UNAVAILABLE, "the store is down"
            )
        wait_s = self._fetch_limit.admit(faults.fetches_per_s, time.monotonic())
        if wait_s > 0:
            return retry_later_response(
                HTTPStatus.TOO_MANY_REQUESTS, "fetch rate", wait_s
            )
        self._closing.wait(faults.delay_s)
        name = f"{model}/{version}"
        with self._lock:
            self._fetch_counts[name] = self._fetch_counts.get(name, 0) + 1
        content = weights_content(model, version, self._options.size_bytes)
        return Response(HTTPStatus.OK, content, content_type="application/octet-stream")


if __name__ == "__main__":
    raise SystemExit(cmdline.run("weights", WeightOptions, WeightStore))
