"""Run a node with its wall clock shifted by the offset in a file.

Setting the clock of the machine needs rights that the soak test does not have.
"""

import os
import sys
import time
from pathlib import Path

from cicadapass_platform.__main__ import main

OFFSET_VARIABLE = "SOAK_CLOCK_OFFSET"


def shift_clock(path):
    """Add the seconds in the file, read at each call, to `time.time`."""
    true_time = time.time

    def shifted():
        return true_time() + float(path.read_text() or 0)

    time.time = shifted


if __name__ == "__main__":
    shift_clock(Path(os.environ[OFFSET_VARIABLE]))
    sys.exit(main())
