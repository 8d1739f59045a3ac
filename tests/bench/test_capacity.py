"""Test the fits, the projections and the output of the capacity benchmark."""

import io
import json
import random
from contextlib import redirect_stdout

import testtools

from cicadapass_bench import capacity
from cicadapass_bench.capacity_fit import fit_line
from cicadapass_bench.capacity_output import Output
from cicadapass_bench.capacity_plan import (
    PlannedSize,
    batcher_appends_per_s,
    keyed_fraction_at,
)
from cicadapass_bench.capacity_tables import build_document
from cicadapass_decisions.inventory import parse_inventory


class FitTest(testtools.TestCase):
    def test_exact_line(self):
        """A wrong slope would make all projected values wrong."""
        fit = fit_line([1, 2, 4], [5.0, 7.0, 11.0])
        self.assertAlmostEqual(3.0, fit.base)
        self.assertAlmostEqual(2.0, fit.slope)
        self.assertAlmostEqual(0.0, fit.slope_error)
        self.assertAlmostEqual(23.0, fit.value_at(10))

    def test_standard_errors(self):
        """An error that is too small would make an uncertain projection look exact."""
        # The residuals are -1/6, 1/3 and -1/6.
        fit = fit_line([1, 2, 3], [1.0, 2.0, 2.0])
        self.assertAlmostEqual(0.5, fit.slope)
        self.assertAlmostEqual((1 / 12) ** 0.5, fit.slope_error)
        self.assertAlmostEqual((1 / 6 * (1 / 3 + 2)) ** 0.5, fit.base_error)
        self.assertAlmostEqual(fit.base_error, fit.error_at(0))
        self.assertLess(fit.error_at(2), fit.error_at(20))

    def test_too_few_sizes(self):
        """A line fits two sizes exactly, so its error would be zero."""
        self.assertRaises(ValueError, fit_line, [1, 2], [1.0, 2.0])
        self.assertRaises(ValueError, fit_line, [1, 1, 2], [1.0, 2.0, 3.0])


class PlanTest(testtools.TestCase):
    def test_load_per_node(self):
        """The load per node determines how many cores a node needs."""
        plan = PlannedSize()
        self.assertAlmostEqual(19.7, plan.node_requests_per_s, 1)
        self.assertAlmostEqual(5263, plan.node_tokens_per_s, 0)
        self.assertAlmostEqual(267, plan.tokens_per_request, 0)
        self.assertAlmostEqual(2800, plan.engine_reads_per_s)
        self.assertAlmostEqual(76, plan.idle_log_reads_per_s)

    def test_publish_bytes(self):
        """Without the base64 overhead, the bytes that a node reads would be too low."""
        plan = PlannedSize(publishes_per_day=86_400)
        self.assertAlmostEqual(4000, plan.publish_bytes_per_s(3000))

    def test_appends_reach_the_limit(self):
        """The fraction at the limit must give exactly the limit of appends."""
        keyed_fraction = keyed_fraction_at(300, 7500, 10, 0.02, 0.005)
        appends = batcher_appends_per_s(keyed_fraction * 7500, 10, 0.02, 0.005)
        self.assertAlmostEqual(300, appends)
        self.assertEqual(0.0, batcher_appends_per_s(0, 10, 0.02, 0.005))

    def test_slow_log_never_reaches_the_limit(self):
        """Ten batchers that wait for a slow log cannot exceed the append limit."""
        self.assertEqual(1.0, keyed_fraction_at(300, 7500, 10, 0.02, 0.1))


class OutputTest(testtools.TestCase):
    def test_lines_have_all_keys(self):
        """The capacity page quotes these lines, so each must have all keys."""
        out = io.StringIO()
        with redirect_stdout(out):
            output = Output(7)
            output.series("m", "nodes", [(1, 2.0), (2, 4.0), (3, 6.0)], "B")
            self.assertAlmostEqual(20.0, output.projected("m", 10, "B"))
        lines = [json.loads(line) for line in out.getvalue().splitlines()]
        keys = {"measure", "variant", "value", "unit", "seed"}
        for line in lines:
            self.assertEqual((set(line), line["seed"]), (keys, 7))
        last = next(line for line in lines if line["variant"] == "projected to 10")
        self.assertEqual(("m", 20.0), (last["measure"], last["value"]))

    def test_copies_group(self):
        """A group that fails would leave outdated figures on the capacity page."""
        out = io.StringIO()
        with redirect_stdout(out):
            self.assertEqual(0, capacity.main(["--quick", "--only", "copies"]))
        names = {json.loads(line)["measure"] for line in out.getvalue().splitlines()}
        self.assertLessEqual({"copy_bytes_slope", "hand_over_bytes_slope"}, names)


class DocumentTest(testtools.TestCase):
    def test_document_is_valid(self):
        """With an invalid document, the benchmark would measure error reporting."""
        document = build_document(30, random.Random(1))
        self.assertTrue(parse_inventory(document).is_ok())
