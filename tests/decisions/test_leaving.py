"""Test the leaving marks."""

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from cicadapass_decisions.leaving import (
    MARK_EXPIRY_S,
    LeavingEntry,
    LeavingMarks,
    add_mark,
    apply_marks,
    expire_marks,
    is_leaving,
    leaving_entries,
    mark_bytes,
    refresh_marks,
)
from cicadapass_decisions.types import VmId

ENTRIES = st.builds(
    LeavingEntry,
    st.sampled_from("abc"),
    st.sampled_from("12"),
    st.sampled_from(["vm_list", "notice"]),
    st.integers(0, 3000),
)


class LeavingTest(testtools.TestCase):
    def test_other_incarnation_is_not_marked(self):
        """A new VM with the name of a reclaimed one must not count as leaving."""
        marks = LeavingMarks()
        add_mark(marks, VmId("vm", "1"), "notice", 0.0)
        self.assertFalse(is_leaving(marks, VmId("vm", "2")))
        apply_marks(marks, [LeavingEntry("other", "2", "notice", 0)], 0.0)
        self.assertTrue(is_leaving(marks, VmId("other", "2")))
        self.assertFalse(is_leaving(marks, VmId("other", "1")))

    def test_stale_list_keeps_mark(self):
        """A stale list that shows the VM as live must not clear its mark."""
        marks = LeavingMarks()
        add_mark(marks, VmId("vm", "1"), "notice", 0.0)
        refresh_marks(marks, [VmId("vm", "1"), VmId("other", "1")], 10.0)
        self.assertTrue(is_leaving(marks, VmId("vm", "1")))
        self.assertFalse(is_leaving(marks, VmId("other", "1")))

    def test_mark_of_a_listed_vm_does_not_expire(self):
        """A VM that drains for more than an hour must keep its mark."""
        marks = LeavingMarks()
        vm = VmId("vm", "1")
        add_mark(marks, vm, "notice", 0.0)
        refresh_marks(marks, [vm], MARK_EXPIRY_S - 1)
        self.assertEqual(expire_marks(marks, MARK_EXPIRY_S + 1), ())
        self.assertEqual(expire_marks(marks, 2 * MARK_EXPIRY_S), (vm,))

    def test_peers_do_not_keep_marks_alive(self):
        """Marks that peers exchange must still expire."""
        first, second = LeavingMarks(), LeavingMarks()
        add_mark(first, VmId("vm", "1"), "notice", 0.0)
        for now_s in range(0, 2 * int(MARK_EXPIRY_S), 600):
            for source, target in ((first, second), (second, first)):
                expire_marks(source, now_s)
                apply_marks(target, leaving_entries(source, 200, now_s), now_s)
        self.assertEqual((first.by_vm, second.by_vm), ({}, {}))

    def test_entries_stay_in_budget(self):
        """Marks for a whole data centre must not exceed the size of a message."""
        marks = LeavingMarks()
        for n in range(200):
            add_mark(marks, VmId(f"vm-{n}", "1"), "vm_list", 0.0)
        sent = set()
        for _ in range(20):
            entries = leaving_entries(marks, 400, 1.0)
            self.assertLessEqual(sum(map(mark_bytes, entries)), 400)
            sent.update(e.vm for e in entries)
        self.assertEqual(len(sent), 200)

    @settings(derandomize=True, deadline=None)
    @given(st.lists(ENTRIES, max_size=8), st.randoms(use_true_random=False))
    def test_marks_only_grow_in_any_order(self, entries, rng):
        """Gossip that arrives late or twice must not remove a mark."""
        ordered, shuffled = LeavingMarks(), LeavingMarks()
        apply_marks(ordered, entries, 5000.0)
        repeated = entries * 2
        rng.shuffle(repeated)
        for entry in repeated:
            before = set(shuffled.by_vm)
            apply_marks(shuffled, [entry], 5000.0)
            self.assertGreaterEqual(set(shuffled.by_vm), before)
        confirmed_s = {vm: m.last_confirmed_s for vm, m in ordered.by_vm.items()}
        self.assertEqual(
            {vm: m.last_confirmed_s for vm, m in shuffled.by_vm.items()}, confirmed_s
        )
