"""Test membership and gossip."""

import random
from collections import Counter
from dataclasses import replace

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from cicadapass_decisions import membership
from cicadapass_decisions.gossip import entry_bytes, gossip_entries
from cicadapass_decisions.membership import (
    GossipEntry,
    MemberState,
    add_listed_members,
    apply_gossip,
    choose_probe_target,
    expire_members,
    new_table,
    on_indirect_result,
    on_probe_failed,
    on_replaced,
    set_local_hints,
)
from cicadapass_decisions.types import NodeAddress


def _address(name, incarnation="1", data_centre="dc-a"):
    return NodeAddress(name, incarnation, "grabhandle", data_centre, "127.0.0.1", 9000)


def _entry(
    name, state=MemberState.ALIVE, refutation=0, hint_version=0, offset=0, load=0
):
    return GossipEntry(_address(name), state, refutation, hint_version, offset, load)


def _table_of(local="own", others=("a", "b", "c", "d", "e")):
    table = new_table(_address(local))
    add_listed_members(table, [_address(name) for name in others], 0.0)
    return table


ENTRIES = st.builds(
    _entry,
    st.sampled_from(["own", "a", "b"]),
    st.sampled_from(list(MemberState)),
    *[st.integers(0, 3)] * 4,
)


class MembershipTest(testtools.TestCase):
    def test_unreachable_member_is_gone_after_suspicion(self):
        """An unreachable owner must be declared gone so that its requests move."""
        table = _table_of()
        on_indirect_result(table, _address("a").vm, False, 10.0)
        self.assertEqual(table.entry(_address("a").vm).state, MemberState.SUSPECT)
        self.assertEqual(expire_members(table, 10.5).changes, ())
        (change,) = expire_members(
            table, 10.0 + membership.suspicion_timeout_s(table)
        ).changes
        self.assertEqual(change.entry.state, MemberState.GONE)

    def test_one_way_partition_raises_no_suspicion(self):
        """A broken path from one node must not make it suspect an alive member."""
        table = _table_of()
        via = on_probe_failed(table, _address("a").vm, random.Random(1))
        self.assertEqual(len(via), 3)
        self.assertNotIn(_address("a"), via)
        effect = on_indirect_result(table, _address("a").vm, True, 1.0)
        self.assertEqual(effect.changes, ())
        self.assertEqual(table.entry(_address("a").vm).state, MemberState.ALIVE)

    def test_member_refutes_suspicion(self):
        """A slow but alive member must be able to refute before it is declared gone."""
        table, suspect = _table_of(), _table_of(local="a", others=("own",))
        on_indirect_result(table, _address("a").vm, False, 1.0)
        apply_gossip(suspect, gossip_entries(table, 600, _address("a").vm), 1.0)
        self.assertEqual(suspect.local.refutation, 1)
        apply_gossip(table, gossip_entries(suspect, 600), 1.5)
        self.assertEqual(table.entry(_address("a").vm).state, MemberState.ALIVE)
        self.assertEqual(expire_members(table, 100.0).changes, ())

    def test_paused_member_detects_it_was_declared_gone(self):
        """A resumed node must detect that its requests may have other owners."""
        table = _table_of(local="a")
        effect = apply_gossip(table, [_entry("a", MemberState.GONE)], 1.0)
        self.assertTrue(effect.declared_gone)
        repeated_effect = apply_gossip(table, [_entry("a", MemberState.GONE)], 1.0)
        self.assertFalse(repeated_effect.declared_gone)

    def test_member_that_refutes_only_a_suspicion_is_told_it_was_gone(self):
        """A probe from before the end of a suspicion hid that requests had moved.

        The refutation of the suspicion also overrides "gone".
        """
        table, member = _table_of(), _table_of(local="a", others=("own",))
        vm = _address("a").vm
        on_indirect_result(table, vm, False, 1.0)
        probe = gossip_entries(table, 600, vm)
        expire_members(table, 100.0)
        self.assertEqual(MemberState.GONE, table.entry(vm).state)
        self.assertFalse(apply_gossip(member, probe, 100.0).declared_gone)
        apply_gossip(table, gossip_entries(member, 600), 100.1)
        self.assertEqual(MemberState.ALIVE, table.entry(vm).state)
        told = [
            apply_gossip(member, gossip_entries(table, 600, vm), 101.0).declared_gone
            for _ in range(20)
        ]
        self.assertEqual([True] + 19 * [False], told)
        self.assertEqual(MemberState.ALIVE, table.entry(vm).state)

    def test_a_member_that_knows_is_not_told_again(self):
        """A member doubted its copies of requests again after each message."""
        table, member = _table_of(), _table_of(local="a", others=("own",))
        vm = _address("a").vm
        on_replaced(table, vm, 1.0)
        effect = apply_gossip(member, gossip_entries(table, 600, vm), 1.0)
        self.assertTrue(effect.declared_gone)
        for _ in range(20):
            apply_gossip(table, gossip_entries(member, 600), 2.0)
            effect = apply_gossip(member, gossip_entries(table, 600, vm), 2.0)
            self.assertFalse(effect.declared_gone)

    def test_restarted_process_overrides_its_old_hints(self):
        """A restarted node must override the load hint of its previous process."""
        table, peer = _table_of(local="a"), _table_of()
        apply_gossip(peer, [_entry("a", hint_version=9, offset=4, load=200)], 1.0)
        set_local_hints(table, 4, 3)
        apply_gossip(table, [peer.entry(_address("a").vm)], 1.0)
        apply_gossip(peer, [table.local], 1.0)
        self.assertEqual(peer.entry(_address("a").vm).load, 3)

    def test_reused_address_is_another_member(self):
        """A VM at a reused address must not revive the old one or get its state."""
        table = _table_of()
        add_listed_members(table, [_address("a", "2")], 1.0)
        on_replaced(table, _address("a", "1").vm, 2.0)
        self.assertEqual(table.entry(_address("a", "1").vm).state, MemberState.GONE)
        self.assertEqual(table.entry(_address("a", "2").vm).state, MemberState.ALIVE)

    def test_stale_list_does_not_revive(self):
        """A stale VM list must not make a gone member alive."""
        table = _table_of()
        on_replaced(table, _address("a").vm, 1.0)
        add_listed_members(table, [_address("a")], 2.0)
        self.assertEqual(table.entry(_address("a").vm).state, MemberState.GONE)

    def test_gone_members_are_probed(self):
        """After an hour of partition, both sides must detect each other again."""
        table = _table_of(others=("a",))
        on_replaced(table, _address("a").vm, 1.0)
        rng = random.Random(1)
        targets = [choose_probe_target(table, rng) for _ in range(10)]
        self.assertIn(_address("a"), targets)

    def test_round_probes_all_members(self):
        """The failure of a member that random choice omits would stay undetected."""
        table = _table_of()
        rng = random.Random(1)
        targets = {choose_probe_target(table, rng).name for _ in range(5)}
        self.assertEqual(targets, {"a", "b", "c", "d", "e"})

    def test_each_member_is_probed_by_many(self):
        """In a large fleet, each node probes a fixed set; the sets cover all nodes.

        A handshake for each probe would cost more than twice as much as the probe.
        """
        names = [f"vm-{n}" for n in range(380)]
        probers = Counter()
        for name in names:
            table = _table_of(name, [n for n in names if n != name])
            rng = random.Random(1)
            targets = {choose_probe_target(table, rng).name for _ in range(80)}
            self.assertEqual(len(targets), membership.PROBE_SET_SIZE)
            probers.update(targets)
        self.assertEqual(len(probers), 380)
        self.assertGreater(min(probers.values()), 15)

    def test_entries_stay_in_budget_and_rotate(self):
        """With 380 members, messages must stay small but spread all entries in time."""
        table = _table_of(others=[f"vm-{n}" for n in range(380)])
        sent = set()
        for _ in range(600):
            entries = gossip_entries(table, 1000)
            self.assertLessEqual(sum(map(entry_bytes, entries)), 1000)
            sent.update(e.vm for e in entries)
        self.assertEqual(len(sent), 381)

    def test_changes_are_sent_before_old_entries(self):
        """A new suspicion must be sent before entries that have been sent often."""
        table = _table_of(others=[f"vm-{n}" for n in range(380)])
        for _ in range(600):
            gossip_entries(table, 1000)
        on_indirect_result(table, _address("vm-7").vm, False, 1.0)
        states = {e.address.name: e.state for e in gossip_entries(table, 400)}
        self.assertEqual(states["vm-7"], MemberState.SUSPECT)

    def test_gone_recipient_gets_its_own_entry(self):
        """A member that is declared gone must get its entry, even an old one."""
        table = _table_of(others=[f"vm-{n}" for n in range(380)])
        doubted = _address("vm-7").vm
        on_replaced(table, doubted, 1.0)
        for _ in range(600):
            gossip_entries(table, 1000)
        states = {e.vm: e.state for e in gossip_entries(table, 300, doubted)}
        self.assertEqual(states[doubted], MemberState.GONE)

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(st.lists(ENTRIES, max_size=8), st.randoms(use_true_random=False))
    def test_any_order_and_repetition_gives_same_table(self, entries, rng):
        """Nodes that receive the same entries in another order must agree."""
        ordered, shuffled = _table_of(others=()), _table_of(others=())
        apply_gossip(ordered, entries, 1.0)
        repeated = entries * 2
        rng.shuffle(repeated)
        for entry in repeated:
            apply_gossip(shuffled, [entry], 1.0)
        apply_gossip(shuffled, repeated, 2.0)
        self.assertEqual(set(ordered.entries()), set(shuffled.entries()))
        self.assertEqual(ordered.local.refutation, shuffled.local.refutation)

    def test_clashing_address_converges(self):
        """Reports of different ports for one member must converge to one port."""
        first, second = _table_of(others=()), _table_of(others=())
        old, new = _entry("a"), _entry("a")
        new = replace(new, address=replace(new.address, peer_port=9001))
        apply_gossip(first, [old, new], 1.0)
        apply_gossip(second, [new, old], 1.0)
        self.assertEqual(first.entries(), second.entries())
