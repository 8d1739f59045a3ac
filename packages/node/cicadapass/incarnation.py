"""What a node learns from the machine that it runs on."""

import os
import secrets
import time

INCARNATION_RANDOM_BYTES = 3


def new_incarnation() -> str:
    """Return the id of this life of the VM's node.

    It starts with the time, so that people see which of two is the later one.
    """
    random_suffix = secrets.token_hex(INCARNATION_RANDOM_BYTES)
    return f"{int(time.time()):x}-{os.getpid():x}-{random_suffix}"
