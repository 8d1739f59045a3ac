"""Entries of upstreams as another writer may leave them in the registry."""

import json

ENTRY = {
    "service": "s",
    "address": "10.1.0.1:8360",
    "zone": "dc-a",
    "version": "1",
    "slots": 8,
    "state": "ready",
    "coldLeftMs": 0,
    "sequence": 4,
    "born": 1_700_000_000_000,
}
NESTED = b'{"address":' + b"[" * 100_000 + b"]" * 100_000 + b"}"
ODD_FIELDS = (
    {"address": "10.1.0.1:99999"},
    {"address": "10.1.0.1:0"},
    {"address": "10.1.0.1:-1"},
    {"address": "10.1.0.1:80 "},
    {"address": "10.1.0.1:٣٣"},
    {"address": "10.1.0.1"},
    {"address": "host.example:80"},
    {"address": "10.1.0.1\r\nX: y:80"},
    {"address": 5},
    {"leaves_ms": 10**400},
    {"leaves_ms": 10**30},
    {"leaves_ms": True},
    {"slots": -1},
    {"slots": 0},
    {"slots": 10**30},
    {"slots": 8.0},
    {"sequence": 10**30},
    {"sequence": -1},
    {"born": 10**30},
    {"born": -1},
    {"born": 1.5},
    {"service": "\ud800"},
    {"service": ""},
    {"zone": "a\nb"},
    {"zone": "z" * 10_000},
    {"state": ["ready"]},
    {"state": "gone"},
)
ODD_BYTES = (
    NESTED,
    b"[" * 200_000,
    b"9" * 10_000,
    b"1e999999999",
    b"\xff\xfe",
    b"",
    b"null",
    b"{}",
    b'"text"',
)


def encode_entry(**changes):
    """Return the bytes of an entry with some fields changed."""
    return json.dumps({**ENTRY, **changes}).encode()


def odd_entries():
    """Return the bytes of entries that name no upstream to use."""
    return [encode_entry(**each) for each in ODD_FIELDS] + list(ODD_BYTES)
