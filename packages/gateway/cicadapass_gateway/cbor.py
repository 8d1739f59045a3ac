"""Small helpers of the gateway."""

from typing import Any

import cbor2


def decode_cbor(data: bytes) -> Any:
    """Return the decoded value; ValueError for bytes that are none."""
    try:
        return cbor2.loads(data)
    except (cbor2.CBORError, EOFError, RecursionError) as error:
        raise ValueError(f"not a CBOR value: {error!r}") from error
