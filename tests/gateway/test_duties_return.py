"""Test the duties over a return of the registry from an older copy."""

from dataclasses import replace

from cicadapass_decisions.dutylease import is_of_era
from cicadapass_decisions.logposition import era_of
from cicadapass_gateway.duties import DutyTimes
from tests.gateway.harness import LoopTest, until
from tests.gateway.test_duties import TIMES, Node, Platform

# A window that has ended and whose counts are complete at this time.
WINDOW = 200
AFTER_WINDOW_S = 1006.5


def started(node):
    """Return whether a node holds the duties."""
    return node.duties.local_renewal() is not None


def fences(platform):
    """Return the numbers under which each node has reported or ordered."""
    numbers = {}
    for name, _, _, fence in platform.reports:
        numbers.setdefault(name, set()).add(fence)
    return numbers


class ReturnTest(LoopTest):
    def platform(self):
        """Return a platform whose registry names an era."""
        platform = Platform()
        platform.registry.era_number = 1
        return platform

    async def report(self, platform, node, count):
        """Let a node hold the duties and report a window."""
        for _ in range(count):
            node.usage.count("w")
        node.start()
        await until(lambda: started(node))
        node.now_s = AFTER_WINDOW_S
        await until(lambda: any(each[0] == node.name for each in platform.reports))

    def test_a_number_that_a_holder_has_used_comes_again(self):
        """The third holder acted under the number of the second, whose record was lost.

        No node is left that knew the second one.
        """

        async def scenario():
            platform = self.platform()
            first = Node(platform, "a").start()
            await until(lambda: started(first))
            first.task.cancel()
            copy = platform.registry.copy()
            second = Node(platform, "b")
            await self.report(platform, second, 1)
            second.task.cancel()
            platform.registry.return_from(copy)
            await self.report(platform, Node(platform, "c"), 1)
            numbers = fences(platform)
            self.assertLess(max(numbers["b"]), min(numbers["c"]))

        self.run_loop(scenario())

    def play_return(self, times):
        """Return the number before a return, and the record of the holder behind it."""

        async def scenario():
            platform = self.platform()
            node = Node(platform, "a", times=times)
            node.start()
            await until(lambda: started(node))
            copy = platform.registry.copy()
            before = node.duties.local_renewal()[0]
            node.usage.count("w")
            node.now_s = AFTER_WINDOW_S
            await until(lambda: platform.reports)
            platform.registry.return_from(copy)
            await until(lambda: (node.duties.local_renewal() or [0])[0] > before)
            return await node.duties._read_record()

        record, end = self.run_loop(scenario())
        self.assertEqual({"w": 1}, dict(record.reports[WINDOW]))
        self.assertTrue(is_of_era(record, 2))
        self.assertEqual(2, era_of(end))

    def test_the_holder_loses_its_final_counts(self):
        """The holder took the record of the copy for its own newest one."""
        self.play_return(DutyTimes(lease_s=3.0, window_s=5.0))

    def test_a_holder_whose_lease_ends_meanwhile_loses_its_final_counts(self):
        """A node took the duties over from the record of the copy."""
        self.play_return(TIMES)

    def test_a_window_is_reported_again_with_other_counts(self):
        """The successor of a holder did not know what the lost record had."""

        async def scenario():
            platform = self.platform()
            holder = Node(platform, "a")
            copy = platform.registry.copy()
            await self.report(platform, holder, 1)
            holder.task.cancel()
            platform.registry.return_from(copy)
            successor = Node(platform, "b")
            successor.usage.count("w")
            successor.usage.count("w")
            successor.peers.reported_window = holder.duties.reported_window()
            successor.now_s = AFTER_WINDOW_S
            successor.start()
            await until(lambda: started(successor))
            successor.now_s = AFTER_WINDOW_S + TIMES.window_s
            await until(lambda: any(each[0] == "b" for each in platform.reports))
            windows = {each[1] for each in platform.reports if each[0] == "b"}
            self.assertEqual({WINDOW + 1}, windows)

        self.run_loop(scenario())

    def test_a_holder_that_slept_over_the_return_acts(self):
        """A holder whose lease had ended went on by its own record in the copy."""

        async def scenario():
            platform = self.platform()
            node = Node(platform, "a").start()
            await until(lambda: started(node))
            fence = node.duties.local_renewal()[0]
            platform.registry.return_from(platform.registry.copy())
            lease = node.duties._lease
            node.duties._lease = replace(lease, renewal_started_s=-1e9)
            await until(lambda: node.duties._lease is None)
            await until(lambda: started(node))
            self.assertGreater(node.duties.local_renewal()[0], fence)

        self.run_loop(scenario())
