"""Test admission."""

from dataclasses import replace

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from cicadapass_decisions.admission import (
    AdmissionRequest,
    Admitted,
    QueueLoad,
    RefusalReason,
    admit,
)
from cicadapass_decisions.drainrate import (
    DrainRate,
    add_cost,
    expected_wait_s,
    on_backlog,
    served_per_s,
)
from cicadapass_decisions.policy import AdmissionRules, QueueRules
from cicadapass_decisions.types import Verdict
from cicadapass_decisions.work import WorkKind

RULES = AdmissionRules()
QUEUE = QueueRules(max_queued=10)


def _admit(priority, load, deadline_s=100.0, accepted=False):
    request = AdmissionRequest(WorkKind.SHORT, priority, deadline_s, accepted)
    return admit(request, load, RULES, QUEUE, 1.0)


class AdmissionTest(testtools.TestCase):
    @settings(derandomize=True, deadline=None)
    @given(
        st.integers(0, 9),
        st.integers(0, 9),
        st.floats(0, 10),
        st.integers(0, 20),
        st.none() | st.integers(0, 9),
    )
    def test_higher_priority_is_admitted_if_lower_is(
        self, first, second, wait_s, queued, low
    ):
        """A load that admits a priority must also admit a higher one."""
        load = QueueLoad(wait_s, queued, low)
        below, above = sorted((first, second))
        if _admit(below, load).is_ok():
            self.assertTrue(_admit(above, load).is_ok())

    @settings(derandomize=True, deadline=None)
    @given(st.floats(0, allow_nan=False), st.integers(0, 20), st.floats(0, 200))
    def test_refusals_report_not_run_and_retry_after(self, wait_s, queued, deadline_s):
        """A refusal must report that nothing ran and a Retry-After within the rules."""
        result = _admit(0, QueueLoad(wait_s, queued), deadline_s)
        if result.is_error():
            self.assertEqual(Verdict.NOT_RUN, result.error.verdict)
            self.assertTrue(1 <= result.error.retry_after_s <= 30)

    def test_refuses_requests_that_cannot_meet_the_deadline(self):
        """Work that would end after its deadline must not use slots."""
        result = _admit(9, QueueLoad(1.5, 3), deadline_s=2.0)
        self.assertEqual(RefusalReason.DEADLINE, result.error.reason)

    def test_full_queue_displaces_only_lower_priority(self):
        """A full queue must admit higher priorities, but not displace equal ones."""
        full = QueueLoad(0.5, 10, 3)
        self.assertEqual(Admitted(displaces=True), _admit(4, full).ok)
        self.assertEqual(RefusalReason.QUEUE_FULL, _admit(3, full).error.reason)

    def test_accepted_request_is_never_shed(self):
        """An accepted request must not be refused because of load."""
        self.assertTrue(_admit(0, QueueLoad(99.0, 99), accepted=True).is_ok())

    def test_wait_follows_measured_rate(self):
        """A service that completes less than usual must shed earlier."""
        rate = on_backlog(DrainRate(), True, 0.0)
        self.assertEqual(100.0, served_per_s(rate, 100.0, 0.5))
        for i in range(100):
            rate = add_cost(rate, 2.0, i * 0.1)
        served = served_per_s(rate, 100.0, 10.0)
        self.assertTrue(16.0 < served < 24.0)
        self.assertEqual(100.0 / served, expected_wait_s(served, 100.0, 0.0))

    def test_wait_includes_overtaking_requests(self):
        """A low priority must be refused at once, not after others overtook it."""
        self.assertEqual(50.0, expected_wait_s(20.0, 100.0, 18.0))
        self.assertEqual(float("inf"), expected_wait_s(0.0, 1.0, 0.0))

    def test_workspace_within_its_share_is_not_shed(self):
        """A flood from one workspace must not make admission refuse the others."""
        load = QueueLoad(9.0, 3)
        self.assertTrue(_admit(0, load).is_error())
        self.assertTrue(_admit(0, replace(load, within_fair_share=True)).is_ok())
        late = _admit(0, replace(load, within_fair_share=True), deadline_s=5.0)
        self.assertEqual(RefusalReason.DEADLINE, late.error.reason)
