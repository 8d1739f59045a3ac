"""Test which engines get the requests of callers while a version is rolled out."""

import asyncio

from cicadapass_decisions.rolloutevidence import add_up
from cicadapass_decisions.rollouts import (
    RolloutBounds,
    RolloutOrder,
    RolloutState,
    decided,
)
from tests.gateway.harness import GatewayHarness, LoopTest

# All requests may be on trial, so that each test sends few.
BOUNDS = RolloutBounds(share=2.0, slack=0.0)


async def start(*scripts, bounds=BOUNDS):
    """Return a gateway whose first engine is of v1 and whose others are of v2.

    An order for v2 came after the first one, and before the others.
    """
    gateway = await GatewayHarness(rollout_bounds=bounds).start(*scripts)
    list_engines(gateway, gateway.upstreams[:1])
    gateway.state.rollouts.confirm_read(5, gateway.state.clock())
    gateway.state.rollouts.adopt_order(RolloutOrder("s", "v2", 12.0), 5)
    list_engines(gateway, gateway.upstreams)
    return gateway


def list_engines(gateway, engines):
    """Put engines into the view."""
    first = gateway.upstreams[0]
    records = [each.record(version="v1" if each is first else "v2") for each in engines]
    gateway.state.upstreams.view.replace(records, gateway.state.clock())
    gateway.state.upstreams.refresh()


def decide(gateway, state):
    """Apply the decision of the holder."""
    rollout = gateway.state.rollouts.rollouts["s"]
    gateway.state.rollouts.merge(decided(rollout, state), "record")


def counts(gateway):
    """Return the counts of v2 over its engines and routes."""
    evidence = gateway.state.rollouts.evidence("s")
    new = [{"": each} for side, each in evidence.items() if side.engine]
    return add_up(new).get("")


def answer(status=200):
    """Return a script that answers with a status."""

    async def script(response):
        response.respond(status)

    return script


class RelayRolloutTest(LoopTest):
    def test_answers_are_counted_by_version(self):
        """Failures of a version on trial left no evidence, or counted as sound."""

        async def scenario(status, failed):
            gateway = await start(answer(), answer(status))
            for _ in range(4):
                await gateway.call("/safe/a")
            found = counts(gateway)
            self.assertGreater(found.sent, 0)
            self.assertEqual(
                (found.sent, failed * found.sent), (found.ended, found.failed)
            )

        self.run_loop(scenario(200, 0))
        self.run_loop(scenario(500, 1))

    def test_a_crash_is_no_evidence(self):
        """A reclaimed engine rolled back its version."""

        async def crash(response):
            response.reset()
            gateway.upstreams[1].stop()

        async def broken(response):
            response.reset()

        async def scenario(script, failed):
            nonlocal gateway
            gateway = await start(answer(), script)
            await gateway.call("/safe/a")
            while gateway.state.rollouts._sums.own("s").probing:
                await asyncio.sleep(0.01)
            self.assertEqual(
                (1, failed), (counts(gateway).sent, counts(gateway).failed)
            )

        gateway = None
        self.run_loop(scenario(crash, 0))
        self.run_loop(scenario(broken, 1))

    def test_a_stream_goes_on_at_its_version_alone(self):
        """A stream of one version went on with the events of another."""

        async def cut(response):
            response.stream()
            response.event(1)
            await response.drain()
            decide(gateway, RolloutState.SUCCEEDED)
            response.reset()

        async def scenario():
            nonlocal gateway
            gateway = await start(
                cut, answer(), bounds=RolloutBounds(share=0.0, slack=0.0)
            )
            ends = []
            gateway.state.events.emit = lambda number, **fields: ends.append(
                (number, fields.get("outcome"))
            )
            reply = await gateway.call("/resume/a", "POST", x_tokens=100)
            self.assertEqual((200, False), (reply.status, reply.complete))
            self.assertEqual([], gateway.upstreams[1].requests)
            # It does not wait until its deadline.
            self.assertIn((812, "cut_version_withdrawn"), ends)

        gateway = None
        self.run_loop(scenario())

    def test_a_version_gets_nothing_once_it_is_rolled_back(self):
        """A request that was placed before the verdict was sent after it."""

        async def scenario():
            gateway = await start(answer(), answer())
            state = gateway.state
            engine = state.upstreams.on_trial("s")[0]
            decide(gateway, RolloutState.ROLLED_BACK)
            self.assertFalse(state.upstreams.is_usable(engine))
            state.upstreams.view.mark_leaving(engine.upstream_id, 1, state.clock())
            self.assertFalse(
                state.upstreams.accepts_stopped_runs(engine, state.clock())
            )
            for _ in range(4):
                self.assertEqual(200, (await gateway.call("/safe/a")).status)
            self.assertEqual([], gateway.upstreams[1].requests)
            self.assertTrue(state.rollouts.fixes_fleet("s"))

        self.run_loop(scenario())

    def test_odd_reports_of_peers_are_refused_as_a_whole(self):
        """An odd report of a peer changed the counts, or ended the part."""

        async def scenario():
            gateway = await start(answer(), answer())
            rollouts = gateway.state.rollouts
            report = rollouts.export()
            row = report["rollouts"][0]
            for odd in (
                {**report, "rollouts": [[*row[:6], "odd", *row[7:]]]},
                {**report, "rollouts": [None]},
                {**report, "counts": [["s", 5, [["r", "e", -1, 0, 0, 0, 0]]]]},
                {**report, "counts": [["s", 5, [["r", "e", 1]], 2]]},
                {**report, "view": None},
            ):
                with self.assertRaises((ValueError, TypeError)):
                    rollouts.merge_state(odd, "p", "p@1")
            self.assertEqual({}, rollouts.evidence("s"))

        self.run_loop(scenario())

    def test_counts_that_cannot_be_judged_are_refused(self):
        """Impossible counts of a peer made each judgement of the version fail."""

        async def scenario():
            gateway = await start(answer(), answer())
            rollouts = gateway.state.rollouts
            report = rollouts.export()
            for numbers in (
                (1, 1, 5, 0, 0),
                (1, 0, 0, 1, 5),
                (1, 10**400, 10**399, 0, 0),
                (10**400, 1, 0, 0, 0),
            ):
                sides = [["r", "", 1, 1000, 0, 1000, 0]]
                sides += [["r", engine, *numbers] for engine in ("e", "f")]
                try:
                    rollouts.merge_state(
                        {**report, "counts": [["s", 5, sides]]}, "p", "p@1"
                    )
                except ValueError:
                    refused = True
                else:
                    refused = False
                rollouts.tick()
                self.assertTrue(refused, numbers)
            self.assertEqual({}, rollouts.evidence("s"))

        self.run_loop(scenario())
