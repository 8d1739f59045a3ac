"""Test the handshake of two peers of different versions."""

from unittest import mock

import testtools

from cicadapass import handshake
from cicadapass_common import wire
from cicadapass_decisions.types import NodeAddress

CLIENT = NodeAddress("f/a", "1", "f", "dc-a", "127.0.0.1", 1)
SERVER = NodeAddress("f/b", "2", "f", "dc-b", "127.0.0.1", 2)
SECRET = b"a secret of 16 or more"


def decode_as_received(message, sender_minor):
    """Return the message as a peer of the current minor version decodes it."""
    with mock.patch.object(wire, "MINOR_VERSION", sender_minor):
        data = wire.encode(message)
    return wire.decode(data).ok.message


class MinorVersionTest(testtools.TestCase):
    def test_newer_minor_version_proves_the_secret(self):
        """A mismatch of minor versions would split the fleet during an upgrade."""
        newer = wire.MINOR_VERSION + 1
        hello = handshake.new_hello(CLIENT)
        reply = handshake.answer_hello(decode_as_received(hello, newer), SERVER, SECRET)
        with mock.patch.object(wire, "MINOR_VERSION", newer):
            handshake.check_reply(hello, reply, SERVER, SECRET)
            proof = handshake.client_proof(hello, reply, SECRET)
        handshake.check_client(hello, reply, proof, SECRET)
