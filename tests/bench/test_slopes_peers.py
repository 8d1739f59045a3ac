"""Test the benchmark of membership and progress."""

import io
import json
from contextlib import redirect_stdout
from unittest import mock

import testtools

from cicadapass_bench import slopes_peers


class SlopesTest(testtools.TestCase):
    def test_all_measures_are_printed(self):
        """A measure that fails would leave outdated figures on the capacity page."""
        out = io.StringIO()
        small = mock.patch.multiple(
            slopes_peers,
            ROUNDS=2,
            MEMBER_COUNTS=(10,),
            measure_connections=lambda rng: (),
        )
        argv = mock.patch("sys.argv", ["slopes_peers", "--seed", "7"])
        quiet = mock.patch.object(slopes_peers.logging, "disable")
        with small, argv, quiet, redirect_stdout(out):
            self.assertEqual(slopes_peers.main(), 0)
        lines = [json.loads(line) for line in out.getvalue().splitlines()]
        names = {line["measure"] for line in lines}
        expected = {"probe_round_cpu", "probe_round_bytes", "table_bytes"}
        self.assertLessEqual(expected | {"progress_bytes", "progress_cpu"}, names)
        for line in lines:
            keys = {"measure", "variant", "value", "unit", "seed"}
            self.assertEqual((set(line), line["seed"]), (keys, 7))
