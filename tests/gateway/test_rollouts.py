"""Test rollouts over nodes with traffic, while parts of the system fail."""

import asyncio
import json
from unittest import mock

import cbor2
import testtools

from cicadapass_decisions.topicreplica import Delta, Document
from cicadapass_gateway.duties import Duties
from cicadapass_gateway.exceptions import PlatformUnavailable
from tests.gateway.rolloutcluster import DURATION_S, ENGINES, exposure, run_rollout
from tests.gateway.virtualcluster import TOPICS, UPSTREAMS, silent_registry

NEVER_S = float("inf")


def now_s():
    """Return the virtual time."""
    return asyncio.get_running_loop().time()


def _remove_record(registry):
    registry.logs["duties"].clear()


def _spoil_rollouts(registry):
    """Replace the rollouts of the record by one that cannot be read."""
    key, value = registry.logs["duties"][-1]
    fields = [*cbor2.loads(value)[:8], [["odd"]]]
    registry.put("duties", key, cbor2.dumps(fields))


class RolloutTest(testtools.TestCase):
    def test_a_sound_version_succeeds_in_time(self):
        """A sound version was not rolled out within its time."""

        async def scenario(cluster):
            began_s = now_s()
            cluster.order()
            self.assertLess(await cluster.until_state("succeeded"), DURATION_S)
            new, total, _ = exposure(cluster, began_s, began_s + 5)
            self.assertTrue(0.02 * total < new <= 0.1 * total, (new, total))
            status_s = now_s()
            await asyncio.sleep(3.0)
            late = [each for each in cluster.sent if each.at_s > status_s - 0.5]
            self.assertEqual({"v2"}, {each.version for each in late})
            self.assertEqual(["running", "succeeded"], cluster.states())
            self.assertEqual(0, cluster.refused)

        run_rollout(scenario)

    def test_a_bad_version_is_rolled_back_within_its_bounds(self):
        """A bad version got more than its share, or for too long."""
        for bad in ((1.0, 1.0), (0.2, 1.0), (0.0, 4.0)):

            async def scenario(cluster, bad=bad):
                began_s = now_s()
                cluster.order()
                self.assertLess(await cluster.until_state("rolled_back"), 8.0, bad)
                status_s = now_s()
                await asyncio.sleep(DURATION_S)
                new, total, overrun_s = exposure(cluster, began_s, began_s + DURATION_S)
                self.assertLessEqual(new, 0.1 * total + 50, bad)
                self.assertLess(overrun_s, 5.0, bad)
                late = [each for each in cluster.sent if each.at_s > status_s]
                self.assertEqual({"v1"}, {each.version for each in late}, bad)
                self.assertEqual(["running", "rolled_back"], cluster.states(), bad)

            run_rollout(scenario, bad=bad)

    def test_a_lost_holder_is_replaced_at_each_step(self):
        """A rollout whose holder ended was decided twice, late or never."""
        for failure, final in ((0.0, "succeeded"), (1.0, "rolled_back")):
            for step in ("running", "record"):

                async def scenario(cluster, step=step, final=final):
                    cluster.order()
                    while True:
                        rollouts = cluster.holder and [
                            each.state.value
                            for each in cluster.holder.state.rollouts.rollouts.values()
                        ]
                        if (
                            step == "order"
                            or (step == "running" and cluster.states())
                            or (step == "record" and rollouts == [final])
                        ):
                            break
                        await asyncio.sleep(0.02)
                    cluster.holder.stop()
                    elapsed_s = await cluster.until_state(final)
                    self.assertLess(elapsed_s, DURATION_S, step)
                    await asyncio.sleep(2.0)
                    self.assertEqual(final, cluster.states()[-1], step)
                    self.assertEqual(1, cluster.states().count(final), step)

                run_rollout(scenario, bad=(failure, 1.0))

    def test_lost_answers_and_outages_of_the_log_cost_no_decision(self):
        """A status whose answer was lost was never written, or many times."""

        async def scenario(cluster):
            cluster.order()
            for _ in range(3):
                cluster.registry.lose_answers = 4
                await asyncio.sleep(1.0)
            cluster.registry.down = True
            await asyncio.sleep(2.0)
            cluster.registry.down = False
            self.assertLess(await cluster.until_state("succeeded"), DURATION_S - 5)
            self.assertEqual(["running", "succeeded"], cluster.states())

        run_rollout(scenario)

    def test_a_node_that_is_cut_off_stays_within_its_share(self):
        """A partitioned node went on sending to a bad version."""

        async def scenario(cluster):
            cut = cluster.nodes[:4]
            cluster.order()
            await asyncio.sleep(1.5)
            cluster.cut = {each.host for each in cut}
            cut_s = now_s()
            with silent_registry(cut):
                await asyncio.sleep(DURATION_S)
            names = {each.name for each in cut}
            new = [each for each in cluster.sent if each.version == "v2"]
            last_s = max((each.at_s for each in new if each.node in names), default=0)
            self.assertLess(last_s - cut_s, 3.0)
            self.assertEqual("rolled_back", cluster.states()[-1])

        run_rollout(scenario, bad=(0.3, 1.0))

    def test_one_odd_engine_does_not_end_a_rollout(self):
        """All nodes sent to one of the idle engines, which spoke for its version."""
        for failure, factor in ((0.3, 1.0), (0.0, 4.0)):

            async def scenario(cluster, odd=(failure, factor)):
                cluster.odd_engine = odd
                cluster.order()
                self.assertLess(await cluster.until_state("succeeded"), DURATION_S, odd)

            # Nodes that send little do not notice it by themselves.
            run_rollout(scenario, nodes=30, rate=5.0)


class OrderTest(testtools.TestCase):
    def test_odd_orders_affect_themselves_alone(self):
        """An odd order ended a rollout, or took the requests from a service."""

        async def scenario(cluster):
            put = cluster.registry.put
            put("configuration", "rollout/s", b"{")
            put("configuration", "rollout/x", b"")
            unknown = {"service": "x", "to": "v2", "durationS": 5}
            put("configuration", "rollout/x", json.dumps(unknown).encode())
            cluster.order()
            await asyncio.sleep(4.0)
            cluster.order()
            put("configuration", "rollout/s", b"[]")
            self.assertLess(await cluster.until_state("succeeded"), DURATION_S - 4)
            put("configuration", "rollout/s", b"")
            await asyncio.sleep(2.0)
            self.assertEqual(["running", "succeeded"], cluster.states())
            self.assertEqual([], cluster.states("x"))
            self.assertEqual(0, cluster.refused)

        run_rollout(scenario)

    def test_a_deleted_order_is_rolled_back(self):
        """A version went on although its order had been deleted."""

        async def scenario(cluster):
            cluster.order()
            await asyncio.sleep(3.0)
            cluster.registry.put("configuration", "rollout/s", b"")
            self.assertLess(await cluster.until_state("rolled_back"), 2.0)

        run_rollout(scenario)

    def test_services_and_configurations_do_not_disturb_each_other(self):
        """A second rollout, or a new configuration, changed the first one's end."""

        async def scenario(cluster):
            cluster.order("s")
            await asyncio.sleep(1.0)
            cluster.order("t", "v3")
            cluster.registry.put("configuration", "config", b"2")
            for service, limit_s in (("s", 11.0), ("t", 12.0)):
                state = await cluster.until_state("succeeded", limit_s, service)
                self.assertLess(state, NEVER_S, service)
            self.assertTrue(all(each.state.version == 2 for each in cluster.nodes))

        run_rollout(scenario, services=("s", "t"))

    def test_an_order_for_the_version_in_use_changes_nothing(self):
        """A repeated order after a success put the service on trial."""

        async def scenario(cluster):
            cluster.order(to="v1")
            self.assertLess(await cluster.until_state("succeeded"), 3.0)
            cluster.order()
            await asyncio.sleep(DURATION_S)
            self.assertEqual("succeeded", cluster.states()[-1])
            for number in range(12):
                cluster.put_engine("s", "v1", number, b"")
            await asyncio.sleep(2.0)
            cluster.order()
            await asyncio.sleep(3.0)
            self.assertEqual("succeeded", cluster.states()[-1])
            self.assertEqual(0, cluster.refused)

        run_rollout(scenario)


class RestartTest(testtools.TestCase):
    def test_nodes_that_start_use_the_version_of_an_earlier_success(self):
        """Restarted nodes took the old order for a new one and refused all requests.

        The first read of the record failed, and no node could tell the others.
        """

        async def scenario(cluster):
            cluster.order()
            self.assertLess(await cluster.until_state("succeeded"), DURATION_S)
            for number in range(12):
                cluster.put_engine("s", "v1", number, b"")
            await asyncio.sleep(3.0)
            failed, read = set(), Duties._read_record

            async def fail_once(each):
                if each not in failed:
                    failed.add(each)
                    raise PlatformUnavailable("no answer")
                return await read(each)

            with mock.patch.object(Duties, "_read_record", fail_once):
                for node in list(cluster.nodes):
                    cluster.restart(node)
                await asyncio.sleep(1.0)
                self.assertEqual(len(cluster.nodes), len(failed))
                usable = [len(each.usable) for each in cluster.nodes]
            self.assertEqual([12] * len(cluster.nodes), usable)

        run_rollout(scenario)

    def test_a_node_without_the_record_avoids_a_version_that_was_rolled_back(self):
        """Restarted nodes used all registered versions until they read the record."""

        async def scenario(cluster):
            cluster.order()
            self.assertLess(await cluster.until_state("rolled_back"), DURATION_S)
            with mock.patch.object(
                Duties, "_read_record", side_effect=PlatformUnavailable("no answer")
            ):
                restarted_s, refused = now_s(), cluster.refused
                for node in list(cluster.nodes):
                    cluster.restart(node)
                await asyncio.sleep(5.0)
            await asyncio.sleep(5.0)
            sent = [each for each in cluster.sent if each.at_s > restarted_s]
            self.assertEqual({"v1"}, {each.version for each in sent})
            self.assertGreater(len(sent), 8.0 * 16 * len(cluster.nodes))
            self.assertEqual(refused, cluster.refused)
            self.assertEqual("rolled_back", cluster.states()[-1])

        run_rollout(scenario, bad=(0.3, 1.0))

    def test_an_order_is_decided_once_though_the_record_is_lost(self):
        """The next holder tried a version again that had a final status."""
        for failure, final, version, lose in (
            (1.0, "rolled_back", "v1", _remove_record),
            (0.0, "succeeded", "v2", _spoil_rollouts),
        ):

            async def scenario(cluster, final=final, version=version, lose=lose):
                cluster.order()
                self.assertLess(await cluster.until_state(final), DURATION_S)
                await asyncio.sleep(2.0)
                for node in cluster.nodes:
                    node.stop()
                lose(cluster.registry)
                restarted_s = now_s()
                for node in list(cluster.nodes):
                    cluster.restart(node)
                await asyncio.sleep(DURATION_S + 3.0)
                self.assertIsNotNone(cluster.holder)
                self.assertEqual(["running", final], cluster.states(), lose)
                # The old engines, which the platform stops after a success, may be
                # used until the status is read.
                from_s = restarted_s + (1.0 if final == "succeeded" else 0.0)
                sent = [each for each in cluster.sent if each.at_s > from_s]
                self.assertEqual({version}, {each.version for each in sent}, lose)

            run_rollout(scenario, bad=(failure, 1.0))

    def test_an_order_without_final_status_is_decided_though_the_record_is_lost(self):
        """An order whose record was lost never got a final status."""

        async def scenario(cluster):
            cluster.order()
            await asyncio.sleep(3.0)
            for node in cluster.nodes:
                node.stop()
            _remove_record(cluster.registry)
            for node in list(cluster.nodes):
                cluster.restart(node)
            state = await cluster.until_state("succeeded", 2 * DURATION_S)
            self.assertLess(state, 2 * DURATION_S)

        run_rollout(scenario)

    def test_versions_without_an_order_are_used_without_the_record(self):
        """Restarted nodes used half of the engines while the record was unreadable."""

        async def scenario(cluster):
            for number in range(ENGINES):
                cluster.put_engine("s", "v2", number)
            await asyncio.sleep(2.0)
            with mock.patch.object(
                Duties, "_read_record", side_effect=PlatformUnavailable("unreadable")
            ):
                for node in list(cluster.nodes):
                    cluster.restart(node)
                await asyncio.sleep(2.0)
                usable = {len(each.usable) for each in cluster.nodes}
                self.assertEqual({2 * ENGINES}, usable)
                ordered_s = now_s()
                cluster.order(to="v3")
                await asyncio.sleep(5.0)
            sent = [each for each in cluster.sent if each.at_s > ordered_s]
            self.assertNotIn("v3", {each.version for each in sent})
            self.assertGreater(len(sent), 4.0 * 16 * len(cluster.nodes))

        run_rollout(scenario)

    def test_unreadable_statuses_leave_the_other_duties(self):
        """No node took the duties while the topic of the statuses failed."""

        async def scenario(cluster):
            cluster.order()
            await asyncio.sleep(2.0)
            for node in cluster.nodes:
                node.stop()
            _remove_record(cluster.registry)
            newest = cluster.registry.newest

            async def fail_statuses(topic):
                if topic == TOPICS.status:
                    raise PlatformUnavailable("no answer")
                return await newest(topic)

            with mock.patch.object(cluster.registry, "newest", fail_statuses):
                for node in list(cluster.nodes):
                    cluster.restart(node)
                await asyncio.sleep(6.0)
                self.assertIsNotNone(cluster.holder)
                await asyncio.sleep(4.0)
                self.assertIsNotNone(cluster.holder)
            state = await cluster.until_state("rolled_back", DURATION_S)
            self.assertLess(state, DURATION_S)
            self.assertEqual(1, cluster.states().count("rolled_back"))

        run_rollout(scenario, bad=(0.3, 1.0))

    def test_a_node_that_starts_cut_off_tries_nothing(self):
        """A node that could not learn of the verdict sent to a bad version for long."""

        async def scenario(cluster):
            cut = cluster.nodes[0]
            cluster.cut = {cut.host}
            cluster.restart(cut)
            await asyncio.sleep(1.0)
            cluster.order(durationS=60.0)
            self.assertLess(await cluster.until_state("rolled_back"), 8.0)
            status_s = now_s()
            # The node removes the others from its members meanwhile.
            await asyncio.sleep(45.0)
            new = [each for each in cluster.sent if each.version == "v2"]
            self.assertLess(max(each.at_s for each in new), status_s + 1.0)

        run_rollout(scenario, bad=(0.3, 1.0))


class EnginesTest(testtools.TestCase):
    def test_a_version_without_engines_is_rolled_back(self):
        """The old engines were stopped for engines that had ended."""

        async def scenario(cluster):
            cluster.order()
            await asyncio.sleep(4.0)
            for number in range(12):
                cluster.put_engine("s", "v2", number, b"")
            self.assertLess(await cluster.until_state("rolled_back"), DURATION_S - 4)
            self.assertEqual(0, cluster.refused)

        run_rollout(scenario)

    def test_the_bound_holds_without_old_engines(self):
        """A version on trial got all requests when the old engines ended."""

        async def scenario(cluster):
            began_s = now_s()
            cluster.order()
            await asyncio.sleep(3.0)
            for number in range(12):
                cluster.put_engine("s", "v1", number, b"")
            await asyncio.sleep(3.0)
            new, _, _ = exposure(cluster, began_s, now_s())
            offered = len(cluster.sent) + cluster.refused
            self.assertLess(new, 0.1 * offered + 50)

        run_rollout(scenario)

    def test_an_unknown_version_waits_for_a_read_of_the_orders(self):
        """Engines of a version got requests before the node knew of its order."""

        async def scenario(cluster):
            cluster.put_engine("s", "v2", 0)
            start_s = now_s()
            while not all("s-v2-0" in each.usable for each in cluster.nodes):
                await asyncio.sleep(0.05)
            self.assertLess(now_s() - start_s, 6.0)
            cluster.registry.down = True
            cluster.put_engine("s", "v3", 0)
            records = cluster.registry.logs[UPSTREAMS]
            document = Document("s-v3-0", b"ready", len(records) - 1)
            for node in cluster.nodes:
                delta = Delta((document,), len(records), complete=False)
                node.registry_sync._apply_upstreams(delta, "registry")
            await asyncio.sleep(5.0)
            self.assertFalse(any("s-v3-0" in each.usable for each in cluster.nodes))
            cluster.registry.down = False
            await asyncio.sleep(4.0)
            self.assertTrue(all("s-v3-0" in each.usable for each in cluster.nodes))

        run_rollout(scenario)


class ReturnTest(testtools.TestCase):
    def test_a_version_that_was_rolled_back_is_tried_again_after_a_return(self):
        """Nodes took an order that they read again in a later era for a new one."""

        async def scenario(cluster):
            cluster.order()
            await cluster.until_state("rolled_back")
            await asyncio.sleep(2.0)
            cluster.registry.return_from(cluster.registry.copy())
            began_s = now_s()
            await asyncio.sleep(DURATION_S)
            late = [each for each in cluster.sent if each.at_s > began_s]
            self.assertEqual({"v1"}, {each.version for each in late})
            self.assertEqual("rolled_back", cluster.states()[-1])
            self.assertTrue(cluster.holder)

        run_rollout(scenario, bad=(1.0, 1.0))
