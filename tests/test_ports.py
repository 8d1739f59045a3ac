"""Tests of the reservation of ports."""

import socket
import subprocess
import sys

import testtools

from tests.ports import HOST, PORTS, ReservedPort
from tests.run import ROOT

CANDIDATES = range(20_000, 20_100)


class ReservedPortTest(testtools.TestCase):
    def reserve(self, candidates=PORTS):
        port = ReservedPort(candidates)
        self.addCleanup(port.release)
        return port

    def test_no_port_is_reserved_twice(self):
        """Two programs of one test got the same port before either listened on it."""
        numbers = [self.reserve(CANDIDATES).number for _ in range(50)]
        self.assertEqual(50, len(set(numbers)))

    def test_another_process_cannot_reserve_the_port(self):
        """Tests that run at the same time got the same port."""
        taken = self.reserve()
        free = self.reserve()
        free.release()
        script = (
            "from tests.ports import ReservedPort\n"
            f"print(ReservedPort([{taken.number}] * 99 + [{free.number}]).number)"
        )
        printed = subprocess.check_output([sys.executable, "-c", script], cwd=ROOT)
        self.assertEqual(free.number, int(printed))

    def test_a_program_can_listen_again_and_again(self):
        """A reservation kept the program itself from listening after a restart."""
        port = self.reserve()
        for _ in range(2):
            with (
                socket.create_server((HOST, port.number)) as listener,
                socket.create_connection((HOST, port.number)) as caller,
            ):
                accepted, _ = listener.accept()
                accepted.close()
                self.assertEqual(b"", caller.recv(1))
            # A connection to the ended program is refused, not left waiting.
            self.assertRaises(
                ConnectionRefusedError,
                socket.create_connection,
                (HOST, port.number),
                1.0,
            )

    def test_a_released_port_can_be_reserved(self):
        """Released ports stayed in use."""
        port = self.reserve()
        port.release()
        self.assertEqual(port.number, self.reserve([port.number]).number)
