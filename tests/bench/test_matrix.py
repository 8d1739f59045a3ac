"""Test the most telling cells of the fault matrix."""

import argparse

import testtools

from cicadapass_bench import matrix

SEED = 1


class MatrixTest(testtools.TestCase):
    def test_quick_cells(self):
        """A guarantee that breaks under one of these faults must fail the build."""
        lines = []
        args = argparse.Namespace(
            quick=True, step=None, fault=None, seed=SEED, shard="", limit_s=0.0
        )
        counts = matrix.run(args, lines.append)
        report = "\n".join(lines)
        self.assertEqual(0, counts["FAIL"], report)
        self.assertEqual(len(matrix.QUICK), sum(counts.values()), report)
        self.assertGreater(counts["ok"], 0, report)
