"""Test what is known of the versions at which streams began."""

import testtools

from cicadapass_decisions import streamversions
from cicadapass_decisions.streamversions import Stream, StreamIndex, VersionHistory

LIFE_S = 20.0


def stream(number, service="s"):
    """Return a stream."""
    return Stream(service, f"r{number}")


class StreamIndexTest(testtools.TestCase):
    def test_a_stream_is_known_for_its_life(self):
        """A stream was known for ever, or forgotten while it could be taken up."""
        index = StreamIndex()
        index.add(stream(1), "v1", 10.0)
        self.assertEqual("v1", index.version(stream(1), 9.9))
        self.assertIsNone(index.version(stream(1), 10.0))
        self.assertIsNone(index.version(stream(1, "other"), 9.9))
        index.expire(10.0)
        self.assertEqual(0, len(index))

    def test_the_streams_of_a_service_are_listed(self):
        """Streams of another service, or that have ended, were recorded."""
        index = StreamIndex()
        index.add(stream(1), "v1", 5.0)
        index.add(stream(2), "v1", 10.0)
        index.add(stream(3, "other"), "v1", 10.0)
        self.assertEqual([(stream(2), "v1")], index.of_service("s", 6.0))

    def test_the_oldest_streams_yield(self):
        """Ids of callers took memory without a bound."""
        self.addCleanup(
            setattr, streamversions, "MAX_STREAMS", streamversions.MAX_STREAMS
        )
        streamversions.MAX_STREAMS = 2
        index = StreamIndex()
        for number in (1, 2, 1, 3):
            index.add(stream(number), "v1", 10.0)
        self.assertIsNone(index.version(stream(2), 0.0))
        self.assertEqual("v1", index.version(stream(1), 0.0))

    def test_the_streams_that_end_first_yield(self):
        """The oldest streams were removed although they lasted longest."""
        self.addCleanup(
            setattr, streamversions, "MAX_STREAMS", streamversions.MAX_STREAMS
        )
        streamversions.MAX_STREAMS = 3
        index = StreamIndex()
        for number, ends_s in ((1, 20.0), (2, 8.0), (3, 9.0), (4, 7.0)):
            index.add(stream(number), "v1", ends_s)
        self.assertIsNone(index.version(stream(4), 0.0))
        index.expire(8.0)
        self.assertEqual(2, len(index))
        # A stream that is added again keeps the later end.
        index.add(stream(1), "v1", 5.0)
        self.assertEqual("v1", index.version(stream(1), 19.0))

    def test_streams_that_are_added_again_take_no_more_memory(self):
        """Each read of the log added ends of the same streams."""
        self.addCleanup(
            setattr, streamversions, "MAX_STREAMS", streamversions.MAX_STREAMS
        )
        streamversions.MAX_STREAMS = 10
        index = StreamIndex()
        for time_s in range(1000):
            index.add(stream(time_s % 5), "v1", 100.0 + time_s)
        self.assertLess(len(index._ends), 30)
        index.expire(1094.0)
        self.assertEqual(5, len(index))
        index.expire(1099.0)
        self.assertEqual(0, len(index))


class VersionHistoryTest(testtools.TestCase):
    def test_a_version_stays_in_use_for_the_life_of_a_stream(self):
        """A version counted as gone while its last streams could be taken up."""
        history = VersionHistory()
        history.observe({"s": ["v1"]}, 0.0)
        history.observe({"s": ["v2"]}, 1.0)
        for now_s, versions in ((1.0, {"v1", "v2"}), (19.9, {"v1", "v2"})):
            self.assertEqual(versions, history.in_use("s", now_s, LIFE_S))
        history.observe({"s": ["v2"]}, 20.0)
        self.assertEqual({"v2"}, history.in_use("s", 20.0, LIFE_S))

    def test_nodes_write_the_versions_by_turns(self):
        """One node dropped a version from the record, and another one put it back."""
        history = VersionHistory()
        both = frozenset({"v1", "v2"})

        def to_record(recorded, now_s):
            return history.version_set_to_record("s", recorded, now_s, LIFE_S)

        # The node has started late: it knows v1 from the record alone.
        history.restore("s", both, 10.0)
        history.observe({"s": ["v2"]}, 10.0)
        self.assertIsNone(to_record(both, 11.0))
        self.assertIsNone(to_record(frozenset({"v2"}), 11.0))
        self.assertEqual(both, to_record(frozenset({"v1"}), 11.0))
        # The versions of others are kept with those that it sees first.
        self.assertEqual(both | {"v0"}, to_record(frozenset({"v0"}), 11.0))
        history.observe({"s": ["v2"]}, 30.0)
        self.assertEqual({"v2"}, to_record(both, 30.0))
        # A service without engines keeps its record.
        self.assertIsNone(to_record(both, 99.0))

    def test_nodes_that_report_to_each_other_keep_no_version_in_use(self):
        """The time that a report takes made a version look later seen, each time."""
        nodes = VersionHistory(), VersionHistory()
        for node in nodes:
            node.observe({"s": ["v1"]}, 0.0)
        for number in range(400):
            sent_s = 0.2 * number
            sender, receiver = nodes[number % 2], nodes[1 - number % 2]
            ages_s = sender.observed_ages_s("s", sent_s, LIFE_S)
            arrived_s = sent_s + 0.1
            seen_s = {version: arrived_s - age_s for version, age_s in ages_s.items()}
            receiver.merge("s", seen_s)
        self.assertEqual(set(), nodes[0].in_use("s", LIFE_S + 1.0, LIFE_S))

    def test_reported_versions_count_as_seen_now(self):
        """A node that started late took the versions before it for those of now."""
        history = VersionHistory()
        history.restore("s", ["v1", "v2"], 100.0)
        self.assertEqual({"v1", "v2"}, history.in_use("s", 101.0, LIFE_S))
        self.assertEqual(set(), history.in_use("other", 101.0, LIFE_S))
