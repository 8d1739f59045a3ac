"""Test that sound engines that fall silent and go on cost no answers."""

from tests.gateway.silence import (
    ALL_PLACES,
    Silences,
    halt_machines_at_once,
    silence_engines_at_once,
    use_up_retries,
)
from tests.gateway.silencechecks import ENGINES, SilenceTest, play_silences


class SilentEnginesTest(SilenceTest):
    def test_silences_of_one_engine_cost_no_answer(self):
        """Answers of the only silent engine were given up and ended with 502."""
        self.expect_whole_answers_of_seeds((1, 2), Silences(engines=1 / ENGINES))

    def test_silences_of_a_third_of_the_engines_cost_no_answer(self):
        """Answers were given up while other engines were free."""
        self.expect_whole_answers_of_seeds((1, 2), Silences(engines=1 / 3))

    def test_silences_of_all_engines_cost_no_answer(self):
        """Calls ended with 502, and streams were cut, although all engines went on."""
        self.expect_whole_answers_of_seeds((1, 2), Silences())

    def test_two_silences_within_an_answer_cost_no_answer(self):
        """A repeat fell silent too, and ended with 504 at the deadline."""
        self.expect_whole_answers_of_seeds(
            (1, 2), Silences(count=2, length_s=(1.1, 1.2))
        )

    def test_a_silence_of_all_engines_at_once_costs_no_answer(self):
        """All engines were silent at the same moment, and no repeat could help."""
        self.expect_whole_answers_of_seeds(
            (1, 2), Silences(0.0), disturb=silence_engines_at_once
        )

    def test_machines_that_stand_still_at_once_cost_no_answer(self):
        """No engine accepted a connection for a second, and requests were refused."""
        self.expect_whole_answers_of_seeds(
            (1, 2), Silences(0.0), disturb=halt_machines_at_once
        )

    def test_a_refused_repeat_costs_no_answer_at_any_place(self):
        """An answer was given up first, and then no repeat was allowed."""
        self.expect_whole_answers(
            (
                place,
                play_silences(
                    3,
                    Silences(places=frozenset([place])),
                    length_s=10.0,
                    disturb=use_up_retries,
                ),
            )
            for place in sorted(ALL_PLACES)
        )

    def test_a_refused_repeat_costs_no_answer_of_some_engines(self):
        """Answers of some engines were given up although no repeat was allowed."""
        self.expect_whole_answers(
            (
                f"{engines:.2f} of the engines",
                play_silences(4, Silences(engines=engines), disturb=use_up_retries),
            )
            for engines in (1 / ENGINES, 1 / 3)
        )
