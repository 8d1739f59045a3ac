"""Tests of the log stand-in."""

import base64
import threading
from concurrent.futures import ThreadPoolExecutor

import urllib3

from cicadapass_standins.log import Log
from tests.standins.support import LONG_POLL_S, TIMEOUT_S, StandinTest


class LogTest(StandinTest):
    def setUp(self):
        super().setUp()
        self.now_s = 1000.0
        self.clock_read = threading.Event()
        self.log = self.serve(Log(clock=self.clock))
        self.records = self.log.url + "/streams/main/records"

    def clock(self) -> float:
        self.clock_read.set()
        return self.now_s

    def append(self, data: bytes):
        return self.call("POST", self.records, data)

    def read(self, from_offset: int = 0, wait_s: float = 0) -> dict:
        return self.get(f"{self.records}?from={from_offset}&wait_s={wait_s}")

    def test_records_are_read_in_append_order(self):
        """A record must be read byte for byte at the offset of its append."""
        offsets = [self.append(data).json()["offset"] for data in (b"\0a", b"b")]
        page = self.read()
        data = [base64.b64decode(record["data"]) for record in page["records"]]
        self.assertEqual(([0, 1], [b"\0a", b"b"]), (offsets, data))
        self.assertEqual(2, page["next_offset"])

    def test_long_poll_ends_with_the_append(self):
        """A waiting reader must get a record that is appended later."""
        with ThreadPoolExecutor() as pool:
            page = pool.submit(self.read, 0, LONG_POLL_S)
            # The reader reads the clock under the lock with which it then waits, so the
            # append comes after the start of its wait.
            self.clock_read.wait(TIMEOUT_S)
            self.append(b"late")
            self.assertEqual(1, len(page.result()["records"]))

    def test_append_with_a_lost_response_takes_effect(self):
        """An append whose response is lost must be in the log."""
        self.control(self.log, lose_answers=1)
        self.assertRaises(urllib3.exceptions.ProtocolError, self.append, b"lost")
        self.assertEqual(1, self.append(b"next").json()["offset"])
        self.assertEqual(2, len(self.read()["records"]))

    def test_outage_has_no_effect(self):
        """An append that is refused during an outage must not be in the log."""
        self.control(self.log, down=True)
        self.assertEqual(503, self.append(b"x").status)
        self.control(self.log, down=False)
        self.assertEqual([], self.read()["records"])

    def test_append_over_the_rate_is_refused_with_retry_after(self):
        """An append over the rate must be refused with 429 and a Retry-After header."""
        self.control(self.log, appends_per_s=0.001)
        self.assertEqual(200, self.append(b"a").status)
        response = self.append(b"b")
        self.assertEqual(429, response.status)
        self.assertGreater(int(response.headers["Retry-After"]), 1)

    def test_expired_records_leave_a_gap(self):
        """Expired records must raise `first_offset`, by age and by offset."""
        self.append(b"a")
        self.now_s += 100
        self.append(b"b")
        self.append(b"c")
        self.control(self.log, retention_s=50)
        self.assertEqual(1, self.read()["first_offset"])
        self.control(self.log, expire_before=2)
        page = self.read()
        self.assertEqual((2, 3), (page["first_offset"], page["next_offset"]))

    def test_unknown_fault_changes_nothing(self):
        """A wrong name or type must be refused together with the valid settings."""
        url = self.log.control_url + "/control"
        changes = {"down": True, "dwon": True}
        self.assertEqual(400, self.call("POST", url, changes).status)
        self.assertEqual(400, self.call("POST", url, {"down": 1}).status)
        self.assertFalse(self.get(url)["down"])
