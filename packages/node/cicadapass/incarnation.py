"""Identifier of one start of the node."""

import os
import secrets
import time

INCARNATION_RANDOM_BYTES = 3


def new_incarnation() -> str:
    """Return a new id for this start of the node.

    It begins with the start time in hexadecimal, so that operators can order two ids.
    """
    random_suffix = secrets.token_hex(INCARNATION_RANDOM_BYTES)
    return f"{int(time.time()):x}-{os.getpid():x}-{random_suffix}"
