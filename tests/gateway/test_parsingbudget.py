"""Test how many small parts a response may have."""

import testtools

from cicadapass_gateway.exceptions import AnswerBroken
from cicadapass_gateway.parsingbudget import (
    BURST_PARTS,
    FREE_BYTES_PER_PART,
    PARTS_PER_S,
    ParsingBudget,
)


class ParsingBudgetTest(testtools.TestCase):
    def test_small_parts_end_at_the_bound(self):
        """Tiny chunks without end took the processor time of all callers."""
        budget = ParsingBudget(5.0)
        for _ in range(BURST_PARTS):
            budget.spend(1, 0, 5.0)
        with self.assertRaises(AnswerBroken) as caught:
            budget.spend(1, 2, 5.0)
        self.assertIn(f"{BURST_PARTS + 1} chunks and events", str(caught.exception))

    def test_parts_of_some_size_are_not_limited(self):
        """A large answer in chunks of usual size was cut."""
        budget = ParsingBudget(0.0)
        for _ in range(100 * BURST_PARTS):
            budget.spend(1, FREE_BYTES_PER_PART, 0.0)

    def test_small_parts_at_the_rate_of_an_engine_are_not_limited(self):
        """A long stream with an event a token was cut."""
        budget = ParsingBudget(0.0)
        for second in range(1, 601):
            budget.spend(int(PARTS_PER_S), 1000, float(second))
