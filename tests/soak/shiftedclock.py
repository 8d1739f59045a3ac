"""Run a node whose wall clock is off by what a file says.

Setting the machine's clock needs rights that the soak does not have.
"""

import os
import sys
import time
from pathlib import Path

from cicadapass_platform.__main__ import main

OFFSET_VARIABLE = "SOAK_CLOCK_OFFSET"


def shift_clock(path):
    """Add the number in the file to `time.time`."""
    true_time = time.time

    def shifted():
        return true_time() + float(path.read_text() or 0)

    time.time = shifted


if __name__ == "__main__":
    shift_clock(Path(os.environ[OFFSET_VARIABLE]))
    sys.exit(main())
