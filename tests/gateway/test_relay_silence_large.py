"""Test that silences cost no answers on a large deployment."""

from tests.gateway.enginecluster import Load
from tests.gateway.silence import (
    Silences,
    play,
    silence_engines_at_once,
    use_up_retries,
)
from tests.gateway.silencechecks import SilenceTest
from tests.gateway.virtualcluster import run_virtual

NODES = 40
ENGINES = 30
LENGTH_S = 10.0
LOAD = Load(requests_per_s=200.0, crashing_fraction=0.0)


def play_silences(silences, disturb=None):
    """Play a large cluster."""
    return run_virtual(play(NODES, ENGINES, 1, silences, LOAD, LENGTH_S, disturb))


class LargeSilenceTest(SilenceTest):
    def test_silences_on_a_large_deployment_cost_no_answer(self):
        """Each of many nodes had few repeats left for the answers that it gave up."""
        self.expect_whole_answers([("40 nodes", play_silences(Silences()))])

    def test_refused_repeats_on_a_large_deployment_cost_no_answer(self):
        """Answers were given up at nodes that had no repeat left."""
        cluster = play_silences(Silences(), use_up_retries)
        self.expect_whole_answers([("40 nodes", cluster)])

    def test_a_silence_of_a_large_deployment_at_once_costs_no_answer(self):
        """All engines were silent at the same moment, and no repeat could help."""
        cluster = play_silences(Silences(0.0), silence_engines_at_once)
        self.expect_whole_answers([("40 nodes", cluster)])
