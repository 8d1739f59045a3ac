"""Test that silences cost no answers while nodes change, reload or stop."""

from tests.gateway.silence import (
    Silences,
    change_configurations,
    reload_nodes,
    stop_nodes,
)
from tests.gateway.silencechecks import SilenceTest


class SilenceBesideChangesTest(SilenceTest):
    def test_silences_beside_new_configurations_cost_no_answer(self):
        """A new configuration every 0.7 s came beside the silences."""
        self.expect_whole_answers_of_seeds(
            (1, 2), Silences(), disturb=change_configurations
        )

    def test_silences_beside_reloads_cost_no_answer(self):
        """Nodes read their settings and a configuration beside the silences."""
        self.expect_whole_answers_of_seeds((1, 2), Silences(), disturb=reload_nodes)

    def test_silences_at_stopping_nodes_cost_no_answer(self):
        """Requests in progress at a stopping node were cut at a silence."""
        self.expect_whole_answers_of_seeds((1, 2), Silences(), disturb=stop_nodes)
