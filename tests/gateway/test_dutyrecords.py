"""Test that records of the duties survive odd names and unreadable items."""

import cbor2
import testtools
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from cicadapass_decisions.dutylease import DutyRecord, EngineClass
from cicadapass_decisions.rollouts import (
    RolloutOrder,
    RolloutState,
    adopt_order,
    decided,
)
from cicadapass_gateway.dutyrecords import decode_record, encode_record
from cicadapass_gateway.exceptions import PlatformUnavailable

# As a record of an earlier build stores it.
STORED = [
    "front-1",
    7,
    3,
    {1: {"w": 2}},
    {"s|dc-a|reclaimable": 4},
    {"w": [[0.5, 2.0]]},
    9.0,
    b"",
]
NAMES = st.text(min_size=1, max_size=20)


def stored(position, value):
    """Return a record with another value at one position."""
    return cbor2.dumps([*STORED[:position], value, *STORED[position + 1 :]])


class DutyRecordsTest(testtools.TestCase):
    def test_a_record_of_an_earlier_build_is_read(self):
        """A successor of an earlier build forgot what had been ordered."""
        decoded = decode_record(cbor2.dumps(STORED[:7]))
        orders = {EngineClass("s", "dc-a", True): 4}
        expected = DutyRecord(
            "front-1", 7, 3, {1: {"w": 2}}, orders, {"w": ((0.5, 2.0),)}, 9.0
        )
        self.assertEqual((expected, ()), (decoded.record, decoded.skipped))

    @seed(37)
    @settings(deadline=None, database=None)
    @given(service=NAMES, data_centre=NAMES, reclaimable=st.booleans())
    def test_orders_with_any_names_are_read_back(
        self, service, data_centre, reclaimable
    ):
        """A data centre with a separator in its name ended each holder in turn."""
        orders = {EngineClass(service, data_centre, reclaimable): 2}
        record = DutyRecord("n", 1, 1, orders=orders)
        decoded = decode_record(encode_record(record))
        self.assertEqual((record, ()), (decoded.record, decoded.skipped))

    def test_plain_names_are_stored_as_by_earlier_builds(self):
        """Nodes of an earlier build could not read the orders of this one."""
        record = DutyRecord("n", 1, 1, orders={EngineClass("s", "dc-a", False): 2})
        fields = cbor2.loads(encode_record(record))
        self.assertEqual({"s|dc-a|on-demand": 2}, fields[4])

    def test_an_unreadable_order_costs_itself_alone(self):
        """One order with four parts ended every node that read the record."""
        for key in ("s|dc-a|dc-b|reclaimable", "s", "", "s|dc-a|other", 5, None):
            decoded = decode_record(stored(4, {key: 1, "s|dc-a|on-demand": 2}))
            self.assertEqual(
                {EngineClass("s", "dc-a", False): 2}, decoded.record.orders
            )
            self.assertEqual(1, len(decoded.skipped), key)

    def test_an_unreadable_usage_costs_itself_alone(self):
        """One odd usage of a workspace ended the duties at each start."""
        for steps in (None, 5, [[1]], [["x", 1.0]], {"a": 1}):
            usage = {"odd": steps, "w": [[0.5, 2.0]]}
            decoded = decode_record(stored(5, usage))
            self.assertEqual({"w": ((0.5, 2.0),)}, decoded.record.recent_usage)
            self.assertEqual(1, len(decoded.skipped), steps)

    def test_an_unreadable_rollout_costs_itself_alone(self):
        """One odd rollout ended the duties, or was decided for the second time."""
        order = RolloutOrder("s", "v2", 12.0)
        rollout = decided(
            adopt_order(None, order, 5, 100.25, ["v1"]), RolloutState.SUCCEEDED
        )
        record = DutyRecord("n", 1, 1, rollouts={"s": rollout})
        encoded = cbor2.loads(encode_record(record))
        self.assertEqual((record, ()), _decoded(encoded))
        row = encoded[8][0]
        for odd in (None, 5, [], row[:9], ["x", *row[1:4], -1, *row[5:]]):
            found, skipped = _decoded([*encoded[:8], [odd, row]])
            self.assertEqual((record, 1), (found, len(skipped)), odd)
        for odd in (5, None, {"a": 1}):
            self.assertEqual(1, len(_decoded([*encoded[:8], odd])[1]), odd)

    def test_a_record_without_a_readable_holder_or_report_is_refused(self):
        """A holder contradicted the counts that an earlier one had reported."""
        odd = {
            0: (None, 5),
            1: ("x", None, True),
            2: ("x", None),
            3: (None, [1], {"x": {"w": 1}}, {1: 2}, {1: {"w": "x"}}),
            4: (None, [1]),
            6: ("x", None),
        }
        for position, values in odd.items():
            for value in values:
                with self.assertRaises(PlatformUnavailable):
                    decode_record(stored(position, value))


def _decoded(fields):
    decoded = decode_record(cbor2.dumps(fields))
    return decoded.record, decoded.skipped
