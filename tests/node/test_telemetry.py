"""Test the metrics, their list and their page."""

import ast
import socket
from pathlib import Path

import testtools

import cicadapass
from cicadapass.metricspage import metrics_page
from cicadapass.telemetry import METRICS, Telemetry

ROOT = Path(__file__).resolve().parents[2]
KIND_OF_FUNCTION = {"count": "counter", "gauge": "gauge", "time_ms": "timer"}


def _sent():
    """Yield the name and the kind of each metric that the node's code sends."""
    for directory in cicadapass.__path__:
        for path in Path(directory).glob("*.py"):
            for node in ast.walk(ast.parse(path.read_text())):
                yield from _metrics_of(node)


def _metrics_of(node):
    if not isinstance(node, ast.Call) or not isinstance(node.func, ast.Attribute):
        return
    if node.func.attr in KIND_OF_FUNCTION and node.args:
        for constant in ast.walk(node.args[0]):
            if isinstance(constant, ast.Constant) and constant.value in METRICS:
                yield constant.value, KIND_OF_FUNCTION[node.func.attr]


class TelemetryTest(testtools.TestCase):
    def test_each_metric_is_sent_by_some_code(self):
        """A listed metric that no code sends would never have a value."""
        listed = {(name, metric.kind) for name, metric in METRICS.items()}
        self.assertEqual(listed, set(_sent()))

    def test_the_page_lists_the_metrics(self):
        """docs/metrics.md must match the list; `make docs` generates it."""
        page = (ROOT / "docs" / "metrics.md").read_text()
        self.assertEqual(metrics_page(), page)

    def test_metrics_reach_the_server(self):
        """Dashboards depend on the prefix, the name and the kind."""
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
            server.bind(("127.0.0.1", 0))
            server.settimeout(20.0)
            telemetry = Telemetry("127.0.0.1", server.getsockname()[1], "node")
            telemetry.count("attempts", 2)
            telemetry.gauge("config.version", 7)
            telemetry.time_ms("plain.latency", 1.5)
            received = [server.recv(1000) for _ in range(3)]
        expected = [
            b"node.attempts:2|c",
            b"node.config.version:7|g",
            b"node.plain.latency:1.500000|ms",
        ]
        self.assertEqual(expected, received)

    def test_unknown_names_and_kinds_are_refused(self):
        """A misspelt metric would be lost without notice, also without a server."""
        telemetry = Telemetry(None, 0, "")
        self.assertRaises(KeyError, telemetry.count, "attempt")
        self.assertRaises(KeyError, telemetry.count, "plain.latency")
