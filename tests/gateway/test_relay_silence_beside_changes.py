"""Test that silences cost no answers while nodes change or engines end."""

from collections import Counter

from tests.gateway.silence import (
    Silences,
    change_configurations,
    end_engines,
    reload_nodes,
    stop_nodes,
)
from tests.gateway.silencechecks import (
    SilenceTest,
    broken_rules,
    play_silences,
    summary,
)


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

    def test_silences_beside_ended_engines_cost_no_answer(self):
        """Answers of engines that went on were given up beside those of ended ones."""
        for seed in (1, 2, 9):
            cluster = play_silences(seed, Silences(), disturb=end_engines)
            lost = Counter()
            for exchange in cluster.exchanges:
                runs = cluster.runs[exchange.request.request_id]
                if not runs or any(run.end != "lost" for run in runs):
                    lost[exchange.route, exchange.outcome] += (
                        exchange.outcome != "whole"
                    )
            self.assertEqual({}, dict(+lost), summary(cluster))
            self.assertEqual({}, broken_rules(cluster), summary(cluster))
