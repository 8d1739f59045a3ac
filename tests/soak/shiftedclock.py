"""Run a node with its wall clock shifted by the offset in a file.

Setting the clock of the machine needs rights that the soak test does not have.
"""

import ctypes
import os
import signal
import sys
import time
from pathlib import Path

from cicadapass_platform.__main__ import main

OFFSET_VARIABLE = "SOAK_CLOCK_OFFSET"
# Option of prctl(2).
PR_SET_PDEATHSIG = 1


def shift_clock(path):
    """Add the seconds in the file, read at each call, to `time.time`."""
    true_time = time.time

    def shifted():
        return true_time() + float(path.read_text() or 0)

    time.time = shifted


def end_with_parent():
    """End this process, also while it is stopped, when the run that started it ends."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


if __name__ == "__main__":
    end_with_parent()
    shift_clock(Path(os.environ[OFFSET_VARIABLE]))
    sys.exit(main())
