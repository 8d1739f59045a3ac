"""Test the prediction of work classes."""

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from cicadapass_decisions.policy import WorkRules
from cicadapass_decisions.work import (
    WorkHistory,
    WorkKind,
    WorkRequest,
    predict,
    reclassify,
)

RULES = WorkRules()


class WorkTest(testtools.TestCase):
    def test_unknown_size_is_long(self):
        """Long work without history must not get a slot reserved for short work."""
        request = WorkRequest("f/parts", "f/counter", max_tokens=5000)
        work = predict(request, WorkHistory(RULES), RULES)
        self.assertEqual((WorkKind.LONG, 5000), (work.kind, work.expected_tokens))

    def test_history_makes_quick_lookups_short(self):
        """Short answers in the history must outweigh a high token limit."""
        history = WorkHistory(RULES)
        request = WorkRequest("f/parts", "f/counter", max_tokens=5000)
        for _ in range(8):
            history.observe(request, 20)
        self.assertEqual(WorkKind.SHORT, predict(request, history, RULES).kind)

    def test_long_prompt_is_long(self):
        """The prefill of a long prompt must count as work."""
        request = WorkRequest("f/parts", "f/shop", prompt_tokens=20_000, max_tokens=5)
        self.assertEqual(
            WorkKind.LONG, predict(request, WorkHistory(RULES), RULES).kind
        )

    def test_outgrown_answer_is_long(self):
        """An answer longer than predicted must lose its reserved slot."""
        request = WorkRequest("f/parts", "f/counter", max_tokens=20)
        work = predict(request, WorkHistory(RULES), RULES)
        self.assertEqual(work, reclassify(work, 20, 0, RULES))
        self.assertEqual(WorkKind.LONG, reclassify(work, 300, 0, RULES).kind)

    @settings(derandomize=True, deadline=None)
    @given(st.integers(1, 10_000), st.lists(st.integers(0, 20_000), max_size=40))
    def test_never_above_limit(self, limit, answers):
        """The prediction must not exceed the caller's limit."""
        history = WorkHistory(RULES)
        request = WorkRequest("f/parts", "f/counter", max_tokens=limit)
        for tokens in answers:
            history.observe(request, tokens)
        self.assertTrue(predict(request, history, RULES).expected_tokens <= limit)
