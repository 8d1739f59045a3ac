"""Test the replica of a keyed topic and the time of the read that it rests on."""

import random

import testtools

from cicadapass_decisions.topicreplica import (
    MAX_HOPS,
    MAX_REMOVALS,
    Document,
    TopicReplica,
)


def listed(*rows, end=10):
    """Return a replica that has applied a listing of keys with offsets."""
    replica = TopicReplica()
    documents = [Document(key, b"value", offset) for key, offset in rows]
    replica.apply_listing(documents, end, 0.0)
    return replica


def keys(replica):
    """Return the keys that are not removed."""
    return {each.key for each in replica.documents}


class ContentTest(testtools.TestCase):
    def test_an_older_record_is_ignored(self):
        """A late message removed a live upstream."""
        replica = listed(("u1", 4))
        replica.apply([Document("u1", b"new", 12)], 13, 1.0)
        self.assertEqual([], replica.apply([Document("u1", b"", 11)], 12, 1.0))
        self.assertEqual({"u1"}, keys(replica))
        self.assertEqual(13, replica.end_offset)

    def test_a_listing_keeps_newer_records(self):
        """A listing from before a change hid the new upstream."""
        replica = listed(("u1", 4))
        replica.apply([Document("u2", b"value", 10)], 11, 1.0)
        replica.apply_listing([Document("u1", b"value", 4)], 10, 2.0)
        self.assertEqual({"u1", "u2"}, keys(replica))

    def test_a_record_from_before_a_listing_does_not_restore_its_key(self):
        """A late message restored an upstream that a listing had not contained."""
        replica = listed(("u1", 4))
        self.assertEqual([], replica.apply([Document("gone", b"value", 7)], 10, 1.0))
        self.assertEqual({"u1"}, keys(replica))

    def test_a_delta_contains_the_changes_found_by_a_listing(self):
        """A change was applied only by the node that had read it."""
        replica = listed(("u1", 4), end=5)
        replica.apply_listing([Document("u2", b"value", 8)], 9, 1.0)
        peer = listed(("u1", 4), end=5)
        delta = replica.delta(peer.end_offset)
        peer.merge(delta, 1.0)
        self.assertTrue(delta.complete)
        self.assertEqual({"u2"}, keys(peer))

    def test_a_delta_contains_removals(self):
        """A removal reached only the node that had read it."""
        replica = listed(("u1", 4), ("u2", 5))
        replica.apply([Document("u1", b"", 10)], 11, 1.0)
        delta = replica.delta(10)
        self.assertFalse(delta.complete)
        self.assertEqual((Document("u1", b"", 10),), delta.documents)

    def test_removals_are_bounded(self):
        """The removals of a long run exhausted the memory of a node."""
        replica = listed(("u", 0), end=1)
        for offset in range(1, 3 * MAX_REMOVALS):
            replica.apply([Document(f"u{offset}", b"", offset)], offset + 1, 1.0)
        self.assertLess(len(replica.delta(1).documents), MAX_REMOVALS + 2)
        self.assertTrue(replica.delta(1).complete)
        self.assertEqual({"u"}, keys(replica))

    def test_replicas_converge_whatever_is_lost(self):
        """A replica missed a change and never found it."""
        for seed in range(100):
            rng = random.Random(seed)
            log = []
            replicas = [TopicReplica() for _ in range(5)]
            for _ in range(150):
                if rng.random() < 0.5:
                    value = rng.choice([b"", b"a", b"b"])
                    log.append((f"u{rng.randrange(12)}", value))
                replica = rng.choice(replicas)
                if rng.random() < 0.3:
                    self._read(replica, log, rng)
                else:
                    self._fetch(replica, rng.choice(replicas))
            self._read(replicas[0], log, rng)
            for replica in replicas[1:]:
                self._fetch(replica, replicas[0])
            newest = {}
            for offset, (key, value) in enumerate(log):
                newest[key] = Document(key, value, offset)
            expected = {each for each in newest.values() if each.value}
            for replica in replicas:
                self.assertEqual(expected, set(replica.documents), f"seed {seed}")

    def _read(self, replica, log, rng):
        start = replica.end_offset
        records = [Document(*each, offset) for offset, each in enumerate(log)]
        if start < 0 or rng.random() < 0.2:
            newest = {each.key: each for each in records}
            documents = [each for each in newest.values() if each.value]
            replica.apply_listing(documents, len(log), 0.0)
        else:
            replica.apply(records[start:], len(log), 0.0)

    def _fetch(self, replica, peer):
        if peer.end_offset <= replica.end_offset:
            return
        replica.merge(peer.delta(replica.end_offset), 0.0)


class AgeTest(testtools.TestCase):
    def test_an_age_that_is_not_a_number_confirms_nothing(self):
        """A view of unknown age counted as read just now."""
        replica = listed(("u1", 4))
        before_s = replica.age_s(100.0)
        replica.confirm_by_peer(10, [float("nan"), 3.0], 100.0)
        self.assertEqual(3.0, replica.age_s(100.0))
        replica = listed(("u1", 4))
        replica.confirm_by_peer(10, [float("nan")] * MAX_HOPS, 100.0)
        self.assertEqual(before_s, replica.age_s(100.0))

    def test_a_peer_that_covers_more_does_not_confirm(self):
        """A node that had missed a change took its view for recent."""
        replica = listed(("u1", 4))
        replica.confirm_by_peer(11, [0.1], 100.0)
        self.assertGreater(replica.age_s(100.0), 1000.0)
        replica.confirm_by_peer(10, [0.1], 100.0)
        self.assertAlmostEqual(0.1, replica.age_s(100.0))

    def test_nodes_do_not_confirm_each_other_without_a_read(self):
        """Two nodes kept their views recent although none read the registry."""
        first, second = listed(("u1", 4)), listed(("u1", 4))
        first.confirm_read(0.0)
        now_s = 0.0
        # The delay of a message is not part of the age that it reports.
        delay_s = 0.2
        for _ in range(50):
            ages_s = first.ages_s(now_s)
            now_s += delay_s
            second.confirm_by_peer(10, ages_s, now_s)
            ages_s = second.ages_s(now_s)
            now_s += delay_s
            first.confirm_by_peer(10, ages_s, now_s)
        self.assertGreater(first.age_s(now_s), now_s - MAX_HOPS * delay_s - 0.001)
