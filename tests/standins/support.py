"""Base class for tests that serve stand-ins in this process and call them."""

import json
from typing import Any

import testtools
import urllib3

from cicadapass_standins.server import App, ServerOptions, Standin

# High enough that a loaded machine does not fail a test.
TIMEOUT_S = 20.0
# Longer than TIMEOUT_S, so that a long poll that is never woken fails its caller.
LONG_POLL_S = 30.0
SERVER = ServerOptions(threads=12)


class StandinTest(testtools.TestCase):
    """Serve stand-ins during a test and stop them after it."""

    def setUp(self):
        super().setUp()
        self.http = urllib3.PoolManager(retries=False, timeout=TIMEOUT_S, maxsize=12)
        self.addCleanup(self.http.clear)

    def serve(self, app: App) -> Standin:
        standin = Standin(app, SERVER)
        self.addCleanup(standin.stop)
        return standin

    def call(self, method: str, url: str, body: Any = None, **headers: str):
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        names = {name.replace("_", "-"): value for name, value in headers.items()}
        return self.http.request(method, url, body=data, headers=names)

    def get(self, url: str) -> Any:
        return self.call("GET", url).json()

    def control(self, standin: Standin, **changes: Any) -> Any:
        response = self.call("POST", standin.control_url + "/control", changes)
        self.assertEqual(200, response.status, response.data)
        return response.json()
