"""Decode CBOR data from other nodes and from the registry."""

import math
from typing import Any

import cbor2


def decode_cbor(data: bytes) -> Any:
    """Return the decoded value; raise ValueError for invalid data."""
    try:
        return cbor2.loads(data)
    except (cbor2.CBORError, EOFError, RecursionError) as error:
        raise ValueError(f"invalid CBOR data: {error!r}") from error


def finite_number(value: Any) -> float:
    """Return a decoded number; raise ValueError unless it is finite."""
    number = float(value)
    if not math.isfinite(number):
        raise ValueError(f"{value} is not a finite number")
    return number
