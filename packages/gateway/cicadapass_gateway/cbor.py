"""Decode CBOR data from other nodes and from the registry."""

import math
from typing import Any

import cbor2

# Whole numbers of the protocols have at most 64 bits.
MAX_WHOLE_NUMBER = 2**64
_PLAIN_TYPES = frozenset({bool, bytes, float, str, type(None)})


def decode_cbor(data: bytes) -> Any:
    """Return the decoded value; raise ValueError for invalid data.

    It consists of lists, dictionaries, numbers, texts and bytes. What the tags of CBOR
    stand for is refused: some of it takes minutes to be converted.
    """
    try:
        value = cbor2.loads(data)
        _check_plain(value, len(data))
    except (cbor2.CBORError, ArithmeticError, EOFError, RecursionError) as error:
        raise ValueError(f"invalid CBOR data: {error!r}") from error
    return value


def finite_number(value: Any) -> float:
    """Return a decoded number; raise ValueError unless it is finite."""
    number = float(value)
    if not math.isfinite(number):
        raise ValueError(f"{value} is not a finite number")
    return number


def _check_plain(value: Any, most: int) -> None:
    """Raise ValueError if a value contains anything but the types of messages.

    It has at most as many parts as the data has bytes, unless some contain themselves.
    """
    remaining, count = [value], 0
    while remaining:
        each = remaining.pop()
        kind = type(each)
        if kind is int:
            if not -MAX_WHOLE_NUMBER < each < MAX_WHOLE_NUMBER:
                raise ValueError("a whole number has more than 64 bits")
        elif kind is list or kind is dict:
            count += len(each)
            if count > most:
                raise ValueError("a part of CBOR data refers to another one")
            remaining += each
            if kind is dict:
                remaining += each.values()
        elif kind not in _PLAIN_TYPES:
            raise ValueError(f"a {kind.__name__} in CBOR data")
