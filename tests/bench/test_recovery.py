"""Test that accepted requests and keyed calls survive the loss of processes."""

import contextlib
import json
import threading

import testtools
import urllib3

from cicadapass_bench.world import running_world, small_plan, wait_until
from cicadapass_standins.answers import answer_text
from tests.bench.callers import call, chat, text_of

TOKENS = 600
# Slow enough for the owner to be lost in the middle of the answer.
SLOW_ENGINES = ("--tokens-per-s", "150")
READ_TIMEOUT_S = 30.0


class RecoveryTest(testtools.TestCase):
    def test_owner_is_killed_mid_stream(self):
        """An accepted answer must resume, byte for byte, after its node is killed."""
        with running_world(small_plan(engine_options=SLOW_ENGINES)) as world:
            world.wait_members(3)
            owner, peer = world.nodes[0], world.nodes[1]
            answer = chat(world, owner, "all bolts", TOKENS, preload_content=False)
            self.assertEqual("peer-copy", answer.headers["Cicadapass-Durability"])
            request_id = answer.headers["Cicadapass-Request-Id"]
            received = answer.read(20_000)
            owner.process.kill()
            with contextlib.suppress(urllib3.exceptions.HTTPError):
                received += answer.read()
            path = f"/v1/requests/{request_id}?from={len(received)}"
            remaining = call(world, peer, "GET", path, timeout=READ_TIMEOUT_S)
            self.assertEqual(200, remaining.status)
            text = text_of(received + remaining.data)
            self.assertEqual(answer_text("user: all bolts", 0, TOKENS), text)

    def test_reclaim_notice_migrates_requests(self):
        """Unfinished answers of a reclaimed node must continue at another node."""
        with running_world(small_plan(engine_options=SLOW_ENGINES)) as world:
            world.wait_members(3)
            owner, peer = world.nodes[0], world.nodes[1]
            answer = chat(world, owner, "all nuts", TOKENS, preload_content=False)
            request_id = answer.headers["Cicadapass-Request-Id"]
            received = answer.read(5_000)
            world.control(world.cloud, notice={"zone": "grabhandle/dc-a", "seconds": 6})
            with contextlib.suppress(urllib3.exceptions.HTTPError):
                received += answer.read()
            self.assertEqual(0, owner.process.wait(READ_TIMEOUT_S))
            path = f"/v1/requests/{request_id}?from={len(received)}"
            remaining = call(world, peer, "GET", path, timeout=READ_TIMEOUT_S)
            text = text_of(received + remaining.data)
            self.assertEqual(answer_text("user: all nuts", 0, TOKENS), text)
            # A peer keeps the timeline of the stopped node.
            timeline = world.ctl("timeline", "--request-id", request_id).stdout
            self.assertIn("request_accepted", timeline)

    def test_same_key_at_two_nodes(self):
        """A payment sent with one key to several nodes must take effect once."""
        plan = small_plan(service_options=("--service-s", "0.2"))
        with running_world(plan) as world:
            world.wait_members(3)
            answers = []

            def pay(node):
                headers = {"Idempotency-Key": "order-17"}
                answers.append(
                    call(
                        world,
                        node,
                        "POST",
                        "/v1/services/orders/payments",
                        body=b'{"amount": 3}',
                        extra_headers=headers,
                    )
                )

            threads = [
                threading.Thread(target=pay, args=(node,)) for node in world.nodes
            ]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join(READ_TIMEOUT_S)
            self.assertEqual(1, count_effects(world))
            statuses = sorted(answer.status for answer in answers)
            self.assertIn(200, statuses)
            for answer in answers:
                self.assertIn(answer.status, (200, 409))
            pay(world.nodes[2])
            self.assertEqual(200, answers[-1].status)
            self.assertEqual("true", answers[-1].headers["Idempotency-Replayed"])
            self.assertEqual(1, count_effects(world))

    def test_log_outage(self):
        """Without the log, calls with the caller's own key are refused as not run.

        Keys issued by the node and requests without a key still work.
        """
        with running_world(small_plan()) as world:
            world.wait_members(3)
            world.control(world.log, down=True)
            node = world.nodes[0]
            path = "/v1/services/orders/payments"
            key = {"Idempotency-Key": "order-18"}
            refused = call(world, node, "POST", path, body=b"{}", extra_headers=key)
            self.assertEqual(503, refused.status)
            self.assertEqual("not-run", refused.headers["Cicadapass-Verdict"])
            self.assertEqual(0, count_effects(world))
            issued = call(world, node, "POST", "/v1/idempotency-keys").json()["key"]
            key = {"Idempotency-Key": issued}
            for sender in (world.nodes[1], node):
                paid = call(world, sender, "POST", path, body=b"{}", extra_headers=key)
                self.assertEqual(200, paid.status)
            self.assertEqual(1, count_effects(world))
            self.assertEqual(200, chat(world, node, "one bolt", 5).status)

    def test_joining_node_gets_the_inventory_from_peers(self):
        """A node that starts during a log outage must serve the inventory in force."""
        with running_world(small_plan()) as world:
            world.wait_members(3)
            world.control(world.log, down=True)
            node = world.start_node("grabhandle", "dc-b", "grabhandle-dc-b-late")
            world.wait_ready([node])
            inventory = world.operators_get(node, "/v1/inventory")
            self.assertEqual(world.inventory(), inventory["document"])

    def test_leaving_upstream_gets_no_new_work(self):
        """New work at a leaving upstream would be lost with its VM."""
        with running_world(small_plan()) as world:
            world.wait_members(3)
            leaving = world.upstreams[0]
            world.control(leaving.process, leaving=True)
            for node in world.nodes:
                wait_until(
                    lambda node=node: is_marked_leaving(world, node, leaving.name),
                    f"{node.name} reports that {leaving.name} is leaving",
                )
            earlier_requests = engine_requests(world, leaving)
            for index in range(12):
                node = world.nodes[index % 3]
                self.assertEqual(200, chat(world, node, f"bolt {index}", 5).status)
            self.assertEqual(earlier_requests, engine_requests(world, leaving))


def count_effects(world):
    """Return the total number of effects at the plain services."""
    urls = [
        upstream.url for upstream in world.upstreams if upstream.service == "orders"
    ]
    ledgers = [world.http.request("GET", f"{url}/ledger").json() for url in urls]
    return sum(len(ledger["effects"]) for ledger in ledgers)


def is_marked_leaving(world, node, upstream):
    """Return whether a node reports an upstream as leaving."""
    upstreams = world.operators_get(node, "/v1/upstreams")["upstreams"]
    return any(
        document["name"] == upstream and document["leaving"] for document in upstreams
    )


def engine_requests(world, upstream):
    """Return the requests that an engine has received, as comparable JSON."""
    stats = world.http.request("GET", f"{upstream.url}/stats").json()
    return json.dumps(stats.get("requests", stats), sort_keys=True)
