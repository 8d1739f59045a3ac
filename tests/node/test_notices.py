"""Test which notices the reader passes on."""

import queue
import threading

import testtools
from expression import Ok

from cicadapass.notices import NoticeReader
from cicadapass.platformclient import Notice, NoticePage

NOW_S = 1000.0
WAIT_S = 20.0


class Platform:
    """Return one page of notices, then wait."""

    def __init__(self, *notices):
        self.pages = [NoticePage(notices, len(notices))]
        self.closed = threading.Event()

    def read_notices(self, after):
        """Return the next page, or an empty one at the end."""
        if self.pages:
            return Ok(self.pages.pop(0))
        self.closed.wait(WAIT_S)
        return Ok(NoticePage((), after))


class NoticeReaderTest(testtools.TestCase):
    def test_notice_of_older_vms(self):
        """A replacement VM that obeyed its predecessor's notice would never serve."""
        old = Notice(1, "grabhandle/dc-a", None, NOW_S - 1)
        new = Notice(2, "grabhandle/dc-a", None, NOW_S + 1)
        platform = Platform(old, new)
        received = queue.Queue()
        reader = NoticeReader(platform, received.put, lambda: NOW_S)
        reader.start()
        self.assertEqual(new, received.get(timeout=WAIT_S))
        self.assertTrue(received.empty())
        reader.stop()
        platform.closed.set()
