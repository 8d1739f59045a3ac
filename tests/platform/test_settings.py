"""Test the decoding of the platform's settings file."""

import os
import tempfile
from unittest import mock

import testtools

from cicadapass_decisions.ratelimit import LimitTolerance
from cicadapass_decisions.rollouts import RolloutBounds
from cicadapass_gateway.config import Address
from cicadapass_gateway.exceptions import SettingsError
from cicadapass_platform.settings import (
    LEARNED_CAPACITY_VARIABLE,
    METRICS_PORT_VARIABLE,
    SETTINGS_PATH_VARIABLE,
    decode_settings,
    read_settings,
)

TEXT = """nodeName=front-a-1
zone=dc-a
ip=10.1.0.16
listen.front=10.1.0.16:8360
listen.ready=10.1.0.16:8365
internalPortRange=7500,7515
seeds=10.1.0.16:8367,10.2.0.33:8367
bounds.graceS=6
bounds.leaseMs=2500
bounds.quotaOvershoot=0.1
bounds.quotaSlack=140000
limits.memoryMb=552
limits.maxFds=8192
platform.address=10.200.1.7:8361
cloudApi.address=10.200.0.114:8361
cloudApi.duties=usage_report,autoscale
later.field=of no interest
"""


class SettingsTest(testtools.TestCase):
    def test_the_fields_are_decoded(self):
        """A field was decoded incorrectly, and the node listened on a wrong port."""
        settings = decode_settings(TEXT)
        node = settings.node
        self.assertEqual(("front-a-1", "dc-a"), (node.node, node.data_centre))
        self.assertEqual(Address("10.1.0.16", 8360), node.callers)
        self.assertEqual(Address("10.1.0.16", 7500), node.peers)
        self.assertEqual(Address("10.2.0.33", 7500), node.seeds[1])
        self.assertEqual((6.0, 2.5), (node.grace_s, node.lease_s))
        self.assertEqual(Address("10.200.1.7", 8361), settings.store)
        self.assertEqual(LimitTolerance(0.1, 140_000.0), node.limit_tolerance)
        self.assertTrue(node.has_duties)
        self.assertEqual((552.0, 8192), (node.memory_mb, node.max_descriptors))

    def test_rollouts_are_enabled_by_the_contracts(self):
        """A deployment without them was served differently, or its file refused."""
        bounds = "bounds.exposureShare=0.2\nbounds.rollbackMs=4000\n"
        for contracts, expected in (
            ("", None),
            ("contracts=other\n", None),
            ("contracts=other, rollout\n", RolloutBounds(0.2, 50.0, 4.0)),
        ):
            node = decode_settings(TEXT + contracts + bounds).node
            self.assertEqual(expected, node.rollout_bounds)
        self.assertIsNone(
            decode_settings(TEXT + "bounds.exposureShare=x").node.rollout_bounds
        )

    def test_all_errors_are_reported(self):
        """Only the first error was reported at each start."""
        wrong = TEXT.replace("zone=dc-a", "zone=").replace(":8360", ":many")
        error = self.assertRaises(SettingsError, decode_settings, wrong)
        self.assertIn("zone is missing", str(error))
        self.assertIn("listen.front='10.1.0.16:many'", str(error))

    def test_unusable_values_are_reported(self):
        """A number out of range ended in a traceback, or in a node that never stops."""
        for name, value in (
            ("bounds.leaseMs", "soon"),
            ("bounds.leaseMs", "0"),
            ("bounds.graceS", "nan"),
            ("bounds.quotaSlack", "-1"),
            ("bounds.usageWindowS", "inf"),
            ("seeds", "10.1.0.16:8367,nowhere"),
            ("internalPortRange", "99999,100000"),
            ("listen.ready", "10.1.0.16:0"),
        ):
            lines = [each for each in TEXT.splitlines() if not each.startswith(name)]
            text = "\n".join([*lines, f"{name}={value}"])
            error = self.assertRaises(SettingsError, decode_settings, text)
            self.assertIn(name, str(error))

    def test_a_metrics_port_that_is_no_port_is_reported(self):
        """The start ended in a traceback."""
        with mock.patch.dict(os.environ, {METRICS_PORT_VARIABLE: "many"}):
            error = self.assertRaises(SettingsError, decode_settings, TEXT)
        self.assertIn(METRICS_PORT_VARIABLE, str(error))

    def test_a_file_that_is_not_text_is_reported(self):
        """The start ended in a traceback, and a reload in an error of its part."""
        with tempfile.NamedTemporaryFile() as file:
            file.write(b"zone=\xff\n")
            file.flush()
            with mock.patch.dict(os.environ, {SETTINGS_PATH_VARIABLE: file.name}):
                self.assertRaises(SettingsError, read_settings)

    def test_a_deployment_without_duties(self):
        """A node without a cloud API did not start."""
        lines = [line for line in TEXT.splitlines() if "cloudApi" not in line]
        settings = decode_settings("\n".join(lines))
        self.assertIsNone(settings.cloud)
        self.assertFalse(settings.node.has_duties)

    def test_the_learning_of_capacity_is_off_unless_it_is_enabled(self):
        """A node learnt, or did not, against its setting."""
        self.assertFalse(decode_settings(TEXT).node.learned_capacity)
        for value, expected in (("1", True), ("0", False)):
            with mock.patch.dict(os.environ, {LEARNED_CAPACITY_VARIABLE: value}):
                self.assertEqual(expected, decode_settings(TEXT).node.learned_capacity)
        with mock.patch.dict(os.environ, {LEARNED_CAPACITY_VARIABLE: "yes"}):
            error = self.assertRaises(SettingsError, decode_settings, TEXT)
        self.assertIn(LEARNED_CAPACITY_VARIABLE, str(error))
