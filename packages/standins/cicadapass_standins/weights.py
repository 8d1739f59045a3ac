"""The weight store, which limits how often weights are fetched."""

import threading
import time
from dataclasses import dataclass
from http import HTTPStatus

from cicadapass_standins import cmdline
from cicadapass_standins.answers import weights_part
from cicadapass_standins.faults import FaultControl
from cicadapass_standins.ratelimit import RateLimit
from cicadapass_standins.server import (
    Answer,
    Request,
    json_answer,
    not_found,
    retry_later,
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
        self._rate = RateLimit()
        self._lock = threading.Lock()
        self._fetches: dict[str, int] = {}
        self._closing = threading.Event()

    def answer(self, request: Request) -> Answer:
        """Serve weights and the number of fetches."""
        match (request.method, request.parts):
            case ("GET", ("weights", model, version)):
                return self._fetch(model, version)
            case ("GET", ("stats",)):
                return json_answer({"fetches": self._fetches})
        return not_found(request)

    def close(self) -> None:
        """End delayed answers."""
        self._closing.set()

    def _fetch(self, model: str, version: str) -> Answer:
        faults = self.faults.current
        if faults.down:
            return retry_later(HTTPStatus.SERVICE_UNAVAILABLE, "the store is down")
        wait_s = self._rate.wait_s(faults.fetches_per_s, time.monotonic())
        if wait_s > 0:
            return retry_later(HTTPStatus.TOO_MANY_REQUESTS, "fetch rate", wait_s)
        self._closing.wait(faults.delay_s)
        name = f"{model}/{version}"
        with self._lock:
            self._fetches[name] = self._fetches.get(name, 0) + 1
        part = weights_part(model, version, self._options.size_bytes)
        return Answer(HTTPStatus.OK, part, content_type="application/octet-stream")


if __name__ == "__main__":
    raise SystemExit(cmdline.run("weights", WeightOptions, WeightStore))
