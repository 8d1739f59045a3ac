"""Test the path of a request through separate processes."""

import signal
import threading

import testtools

from cicadapass_bench.world import running_world, small_plan
from cicadapass_standins.answers import answer_text
from tests.bench.callers import call, chat, text_of

STOP_TIMEOUT_S = 30.0


class WorldTest(testtools.TestCase):
    def test_path_of_a_request(self):
        """Components that pass their own tests may still fail as separate processes."""
        with running_world(small_plan()) as world:
            node = world.nodes[0]
            self.check_stream(world, node)
            self.check_plain_call(world, node)
            self.check_publish(world)
            self.check_graceful_stop(world, node)

    def check_stream(self, world, node):
        answer = chat(world, node, "which bolts fit", 20)
        self.assertEqual(200, answer.status)
        request_id = answer.headers["Cicadapass-Request-Id"]
        complete = answer.data
        # `parse_chat` renders each message with its role.
        expected = answer_text("user: which bolts fit", 0, 20)
        self.assertEqual(expected, text_of(complete))
        path = f"/v1/requests/{request_id}?from=200"
        remaining = call(world, node, "GET", path)
        self.assertEqual(complete[200:], remaining.data)
        other_workspace = call(world, node, "GET", path, workspace="bulk")
        self.assertEqual(404, other_workspace.status)

    def check_plain_call(self, world, node):
        answer = call(world, node, "POST", "/v1/services/orders/payments", body=b"{}")
        self.assertEqual(200, answer.status)
        refused = call(world, node, "GET", "/v1/services/missing/x")
        self.assertEqual(404, refused.status)
        self.assertEqual("not-run", refused.json()["verdict"])

    def check_publish(self, world):
        document = world.inventory()
        document["rules"] = {"retry": {"hedge": False}}
        self.assertEqual(0, world.publish(document).returncode)
        for node in world.nodes:
            published = world.operators_get(node, "/v1/inventory")
            self.assertEqual(document, published["document"])

    def check_graceful_stop(self, world, node):
        started = threading.Event()
        answers = []

        def read_answer():
            answer = chat(world, node, "long list", 400, preload_content=False)
            started.set()
            answers.append(answer.read())

        reader = threading.Thread(target=read_answer)
        reader.start()
        self.assertTrue(started.wait(STOP_TIMEOUT_S))
        node.process.signal(signal.SIGTERM)
        reader.join(STOP_TIMEOUT_S)
        self.assertEqual(answer_text("user: long list", 0, 400), text_of(answers[0]))
        self.assertEqual(0, node.process.wait(STOP_TIMEOUT_S))
