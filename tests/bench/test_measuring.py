"""Test the benchmark helpers that need no processes."""

import testtools

from cicadapass_bench.callerkit import Prompt, StreamedAnswer
from cicadapass_bench.histograms import Latencies
from cicadapass_bench.measureload import Arrivals, plan_arrivals
from cicadapass_bench.plot import chart, read_lines, table

LINES = """
{"measure": "tail", "variant": "a", "value": 1.25, "unit": "ms", "seed": 1}
{"measure": "tail", "variant": "b", "value": 2, "unit": "ms", "seed": 1}
"""


class MeasuringTest(testtools.TestCase):
    def test_latencies_of_processes_add_up(self):
        """Percentiles must include the latencies of all load processes."""
        first, second = Latencies(), Latencies()
        first.add(0.001)
        second.add(0.1)
        first.add_encoded(second.encode())
        self.assertEqual(2, first.count)
        self.assertTrue(99 < first.percentile_ms(99.0) < 101)

    def test_arrivals_depend_on_the_seed_only(self):
        """Variants are compared with the same requests."""
        arrivals = Arrivals(short_per_s=20.0, long_per_s=2.0)
        first = plan_arrivals(arrivals, "parts", 1)
        self.assertEqual(first, plan_arrivals(arrivals, "parts", 1))
        self.assertNotEqual(first, plan_arrivals(arrivals, "parts", 2))

    def test_a_cut_answer_is_not_verified(self):
        """An answer that is cut short or has a wrong token must not be verified."""
        event = 'data: {"choices": [{"delta": {"content": %s}}]}\n\n'
        prompt = Prompt("parts", "x", 1)
        right = (event % f'"{prompt.expected}"').encode()
        wrong = (event % '" wrong"').encode()
        end = b"data: [DONE]\n\n"
        for data, verified in (
            (right + end, True),
            (right, False),
            (wrong + end, False),
        ):
            answer = StreamedAnswer(prompt, data=bytearray(data))
            self.assertEqual(verified, answer.verified)

    def test_table_and_chart(self):
        """A value must appear in the column of its variant."""
        lines = read_lines(LINES)
        self.assertIn("| tail | ms | 1.25 | 2 |", table(lines))
        self.assertEqual(2, chart(lines).count("<rect"))
