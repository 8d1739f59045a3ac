"""Test which runs of leaving engines are migrated, and where to."""

import testtools

from cicadapass_decisions.placement import Candidate
from cicadapass_decisions.runmigration import (
    MAX_RUNNING_COPIES,
    CopyOutcome,
    Place,
    RunProgress,
    choose_destination,
    estimate_remaining_s,
    may_stop,
    resume_places,
    should_migrate,
)


def run(events, running_s, tokens=400):
    """Return the progress of a run with four tokens per event."""
    return RunProgress(events, running_s, tokens, 4)


def candidate(name, **changes):
    """Return an idle engine of the local data centre."""
    values = {
        "data_centre": "dc-a",
        "local": True,
        "slots": 64,
        "running": 0,
        "backlog_s": 0.0,
        "prefill_s_per_token": 0.00002,
        "call_s": 0.03,
        "cached_tokens": 0,
        "failure_score": 0.0,
        **changes,
    }
    return Candidate(upstream_id=name, **values)


class RunMigrationTest(testtools.TestCase):
    def test_long_run_is_migrated_and_short_one_is_not(self):
        """Streams were cut when their data centre was reclaimed with notice."""
        self.assertTrue(should_migrate(run(10, 0.5), 2.0))
        self.assertFalse(should_migrate(run(90, 2.0, tokens=240), 2.0))

    def test_run_without_events_is_not_migrated(self):
        """A run was copied before it had completed its prefill."""
        self.assertFalse(should_migrate(run(0, 0.1), 0.5))

    def test_estimate_uses_the_event_rate_of_the_run(self):
        """The remaining time did not depend on the speed of the run's own engine."""
        self.assertGreater(
            estimate_remaining_s(run(10, 2.0)), estimate_remaining_s(run(10, 0.2))
        )

    def test_destinations_are_near_and_have_free_slots(self):
        """A run was copied to an engine without a free slot, which refused it."""
        full = candidate("a", running=64)
        far = candidate("b", local=False)
        near = candidate("c", backlog_s=0.1)
        self.assertEqual("c", choose_destination([full, far, near]))
        self.assertEqual("b", choose_destination([full, far]))
        self.assertIsNone(choose_destination([full]))


class ResumePlacesTest(testtools.TestCase):
    def test_a_stopped_run_goes_on_wherever_its_memory_is(self):
        """Runs were given up whose memory an engine kept.

        Only a run that the source no longer knows has nowhere to go on.
        """
        expected = {
            CopyOutcome.COMPLETE: (Place.DESTINATION, Place.SOURCE),
            CopyOutcome.REFUSED: (Place.SOURCE,),
            CopyOutcome.UNKNOWN: (Place.SOURCE, Place.DESTINATION),
            CopyOutcome.NO_RUN: (),
            CopyOutcome.IN_PROGRESS: (),
            CopyOutcome.NOT_SENT: (Place.SOURCE, Place.DESTINATION),
        }
        self.assertEqual(expected, {each: resume_places(each) for each in CopyOutcome})


class MayStopTest(testtools.TestCase):
    def test_a_run_goes_on_while_copies_of_others_queue_before_its_own(self):
        """Streams stood still while their last copy waited behind twenty others."""
        self.assertFalse(may_stop(1, 0.14, 3.0))
        self.assertFalse(may_stop(2, 0.9, 2.5))
        self.assertTrue(may_stop(2, 0.1, 2.5))

    def test_a_run_is_stopped_in_time_for_the_end_of_its_engine(self):
        """A run that was copied again and again ended with its engine."""
        self.assertTrue(may_stop(1, 0.14, 0.5))
        self.assertTrue(may_stop(2, 2.0, 1.0))
        self.assertTrue(may_stop(1, 3.0, -0.2))

    def test_a_run_is_not_copied_without_end(self):
        """An engine that served on for long got calls for the same run until then."""
        self.assertTrue(may_stop(MAX_RUNNING_COPIES, 0.9, 30.0))
