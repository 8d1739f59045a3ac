"""Test the members component over real connections."""

import socket
from dataclasses import replace
from types import SimpleNamespace

import testtools
from expression import Error

from cicadapass.membermessages import (
    ListedVm,
    MarkLeaving,
    MessageReceived,
    RefreshVmList,
    SetLocalHints,
)
from cicadapass_common.exceptions import CicadapassError
from cicadapass_common.messages import Probe
from cicadapass_decisions.membership import MemberState
from cicadapass_decisions.types import VmId
from tests.node.clusterharness import Clock, Cluster, Member
from tests.node.peerharness import address, wait_for

ALIVE, SUSPECT, GONE = MemberState.ALIVE, MemberState.SUSPECT, MemberState.GONE


class MembersTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = Clock()

    def member(self, name, data_centre="dc-a", **options):
        local = options.pop("local", None) or address(name, data_centre)
        return Member(self, local, self.clock, **options)

    def cluster(self, *nodes):
        cluster = Cluster(*nodes)
        cluster.introduce()
        cluster.run_until(lambda: self.all_alive(nodes))
        return cluster

    def all_alive(self, nodes):
        return all(n.state_of(o.address) is ALIVE for n in nodes for o in nodes)

    def numbers(self, node):
        return [e.number for e in node.events.recent()]


class DetectionTest(MembersTest):
    def test_seed_is_enough_to_join(self):
        """A node must join while the VM list is down."""
        a, b = self.member("a"), self.member("b")
        self.cluster(a, b)
        seed = address("", incarnation="", port=a.address.peer_port)
        c = self.member("c", seeds=[seed])
        Cluster(a, b, c).run_until(lambda: self.all_alive([a, b, c]))

    def test_dead_member_is_gone_everywhere(self):
        """An undetected failure would leave requests without an owner."""
        a, b, c = self.member("a"), self.member("b"), self.member("c", "dc-b")
        cluster = self.cluster(a, b, c)
        c.peers.stop()
        cluster.nodes.remove(c)
        cluster.run_until(lambda: a.gone and b.gone)
        self.assertEqual((a.gone, b.gone), ([c.address.vm], [c.address.vm]))
        self.assertTrue(a.current_members.snapshot.is_gone(c.address.vm))
        self.assertNotIn("grabhandle/dc-b", a.current_members.snapshot.alive)
        a.wait_for_event(301, member="c/1")
        a.wait_for_event(302, member="c/1")

    def test_broken_connection_triggers_a_probe(self):
        """A killed member must be probed before its turn in the rounds."""
        a, b, c = self.member("a"), self.member("b"), self.member("c")
        cluster = self.cluster(a, b, c)

        def connected():
            # Two rounds of probes connect a to both others.
            probes = a.peers.traffic().sent.get("probe")
            return probes is not None and probes.messages >= 4

        cluster.run_until(connected)
        c.peers.stop()
        wait_for(lambda: a.state_of(c.address) is SUSPECT)
        self.assertEqual(a.state_of(b.address), ALIVE)

    def test_frozen_member_is_gone(self):
        """A node that accepts connections but does nothing must be replaced."""
        listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(listener.close)
        frozen = address("frozen", port=listener.getsockname()[1])
        a, b = self.member("a"), self.member("b")
        cluster = Cluster(a, b)
        cluster.introduce()
        a.listed.append(ListedVm(frozen.vm, False, frozen))
        cluster.run_until(lambda: frozen.vm in a.gone and frozen.vm in b.gone)
        self.assertEqual(a.state_of(b.address), ALIVE)

    def test_one_way_partition(self):
        """A broken path from one node must not make a live member suspected."""
        blocked = []
        a = self.member("a", allow=lambda target: target.name not in blocked)
        b, c = self.member("b"), self.member("c")
        cluster = self.cluster(a, b, c)
        blocked.append("c")
        for _ in range(20):
            cluster.step()
        self.assertEqual(a.state_of(c.address), ALIVE)
        self.assertNotIn(301, self.numbers(a))

    def test_healed_partition(self):
        """After a partition, both sides must rejoin."""
        blocked = []

        def allow(target):
            return target.name not in blocked

        a, b = self.member("a", allow=allow), self.member("b", allow=allow)
        cluster = self.cluster(a, b)
        blocked.extend("ab")
        cluster.run_until(lambda: a.gone and b.gone)
        blocked.clear()
        cluster.run_until(lambda: self.all_alive([a, b]))
        cluster.run_until(lambda: a.declared and b.declared)
        a.wait_for_event(304)
        a.wait_for_event(303)

    def test_healed_partition_after_a_late_suspicion(self):
        """A late probe from before the end of a suspicion hid that a node was gone."""
        blocked = []

        def allow(target):
            return target.name not in blocked

        a, b = self.member("a", allow=allow), self.member("b", allow=allow)
        cluster = self.cluster(a, b)
        blocked.extend("ab")
        cluster.run_until(lambda: a.gone and b.gone)
        suspected = replace(
            a.current_members.snapshot.by_vm[b.address.vm], state=SUSPECT
        )
        probe = Probe((suspected,), (), 0, 2)
        b.component.tell(
            MessageReceived(SimpleNamespace(message=probe, sender=a.address, reply=id))
        )
        b.round()
        self.assertEqual([], b.declared)
        blocked.clear()
        cluster.run_until(lambda: self.all_alive([a, b]))
        cluster.run_until(lambda: a.declared and b.declared)

    def test_member_refutes_suspicion(self):
        """A temporarily unreachable member must not lose its requests."""
        blocked = []
        a = self.member("a", allow=lambda target: target.name not in blocked)
        b = self.member("b")
        cluster = self.cluster(a, b)
        blocked.append("b")
        cluster.run_until(lambda: a.state_of(b.address) is SUSPECT)
        blocked.clear()
        cluster.run_until(lambda: a.state_of(b.address) is ALIVE)
        self.assertEqual((a.gone, b.declared), ([], []))

    def test_paused_node_restarts_suspicions(self):
        """A node that resumes after a pause must not declare members gone at once."""
        dead = self.member("dead")
        a = self.member("a")
        cluster = self.cluster(a, dead)
        dead.peers.stop()
        cluster.nodes.remove(dead)
        cluster.run_until(lambda: a.state_of(dead.address) is SUSPECT)
        self.clock.now_s += 100.0
        a.round()
        self.assertEqual(a.state_of(dead.address), SUSPECT)
        cluster.run_until(lambda: a.gone)

    def test_address_reused_by_another_incarnation(self):
        """The old incarnation must be gone at once, and the new one be used."""
        a, old = self.member("a"), self.member("c")
        cluster = self.cluster(a, old)
        old.peers.stop()
        port = old.address.peer_port
        new = self.member("c", local=address("c", incarnation="2", port=port))
        cluster.nodes[1] = new
        a.listed.append(ListedVm(new.address.vm, False, new.address))
        cluster.run_until(lambda: a.state_of(new.address) is ALIVE and a.gone)
        self.assertEqual(a.gone, [old.address.vm])

    def test_old_incarnation_needs_no_suspicion(self):
        """A successor at the address proves that the old incarnation is gone."""
        a, new = self.member("a"), self.member("c", local=address("c", incarnation="2"))
        old = replace(new.address, incarnation="1")
        a.listed += [ListedVm(p.vm, False, p) for p in (old, new.address)]
        a.component.ask(RefreshVmList(), 20.0)
        Cluster(a, new).run_until(lambda: a.gone)
        self.assertEqual(a.gone, [old.vm])
        self.assertNotIn(301, self.numbers(a))
        self.assertEqual(a.state_of(new.address), ALIVE)

    def test_stale_list_does_not_revive_a_member(self):
        """An outdated VM list must not make a failed member alive again."""
        a, b = self.member("a"), self.member("b")
        cluster = self.cluster(a, b)
        b.peers.stop()
        cluster.nodes.remove(b)
        cluster.run_until(lambda: a.gone)
        a.component.ask(RefreshVmList(), 20.0)
        for _ in range(10):
            cluster.step()
        self.assertEqual(a.state_of(b.address), GONE)

    def test_unreadable_list(self):
        """An outage of the VM list must not stop the members component."""
        a = self.member("a")
        a.read_vm_list = lambda: Error(CicadapassError("down", "wait"))
        a.component.ask(RefreshVmList(), 20.0)
        a.wait_for_event(307, reason="down; wait")
        a.read_vm_list = lambda: 1 / 0
        a.component.ask(RefreshVmList(), 20.0)
        a.wait_for_event(
            307, reason="ZeroDivisionError('division by zero'); check the VM list"
        )
        a.round()

    def test_hints_spread(self):
        """A node that is behind must learn which member has newer records."""
        a, b = self.member("a"), self.member("b")
        cluster = self.cluster(a, b)
        a.component.tell(SetLocalHints(77, 200))

        def received():
            entry = b.current_members.snapshot.by_vm[a.address.vm]
            return (entry.config_offset, entry.load) == (77, 200)

        cluster.run_until(received)


class LeavingTest(MembersTest):
    VM = VmId("engine-1", "1")

    def test_mark_reaches_all_between_rounds(self):
        """New work must stop within seconds of the first leaving mark of a VM."""
        nodes = [self.member(n, f"dc-{n[0]}") for n in ("a1", "a2", "b1", "b2", "b3")]
        self.cluster(*nodes)
        nodes[0].component.tell(MarkLeaving((self.VM,), "notice"))
        for node in nodes:
            wait_for(
                lambda node=node: node.current_members.snapshot.is_leaving(self.VM)
            )
            self.assertEqual(node.marked, [self.VM])
            node.wait_for_event(305, vm="engine-1/1", source="notice")

    def test_stale_list_does_not_clear_a_mark(self):
        """An outdated list without the leaving mark must not clear it."""
        a = self.member("a", listed=[ListedVm(self.VM, True)])
        wait_for(lambda: a.current_members.snapshot.is_leaving(self.VM))
        a.listed[:] = [ListedVm(self.VM, False)]
        for _ in range(10):
            Cluster(a).step()
        self.assertTrue(a.current_members.snapshot.is_leaving(self.VM))
        self.assertFalse(a.current_members.snapshot.is_leaving(VmId("engine-1", "2")))

    def test_marks_survive_a_restart_of_the_component(self):
        """A failure of the component must not clear the marks of leaving VMs."""
        a = self.member("a")
        a.component.ask(MarkLeaving((self.VM,), "notice"), 20.0)
        failed = a.component._ref
        a.component.tell(MarkLeaving((None,), "notice"))
        a.wait_for_event(110, part="members")
        wait_for(lambda: a.component._ref is not failed)
        other = VmId("engine-2", "1")
        a.component.ask(MarkLeaving((other,), "notice"), 20.0)
        self.assertEqual(a.current_members.snapshot.leaving, {self.VM, other})
