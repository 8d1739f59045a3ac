"""Decode CBOR data from other nodes and from the registry."""

from typing import Any

import cbor2


def decode_cbor(data: bytes) -> Any:
    """Return the decoded value; raise ValueError for invalid data."""
    try:
        return cbor2.loads(data)
    except (cbor2.CBORError, EOFError, RecursionError) as error:
        raise ValueError(f"invalid CBOR data: {error!r}") from error
