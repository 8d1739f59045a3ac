"""Test the bearer credentials."""

import testtools

from cicadapass_common.credentials import (
    bearer_credential,
    credential_matches,
    hash_credential,
    new_credential,
)


class CredentialsTest(testtools.TestCase):
    def test_matches_only_its_hash(self):
        """A credential must match its own hash only."""
        first, second = new_credential(), new_credential()
        self.assertTrue(credential_matches(first, hash_credential(first)))
        self.assertFalse(credential_matches(second, hash_credential(first)))
        self.assertFalse(credential_matches("", hash_credential(first)))

    def test_header(self):
        """A malformed header must give no credential and not raise."""
        self.assertEqual("abc", bearer_credential("bearer  abc "))
        for header in (None, "", "Bearer", "Bearer ", "Basic abc", "abc"):
            self.assertIsNone(bearer_credential(header), header)
        self.assertEqual(64, len(hash_credential("\ud800")))
