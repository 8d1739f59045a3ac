"""Inventory documents for tests."""

import copy
import hashlib
from typing import Any


def sha256_of(text: str) -> str:
    """Return the SHA-256 of a string in lower-case hexadecimal."""
    return hashlib.sha256(text.encode()).hexdigest()


def fleet_document(fleet: str, first_port: int) -> dict[str, Any]:
    """Return a small fleet; all fleets use the same short names."""
    upstream = {"service": "parts", "data_centre": "dc-a", "slots": 8}
    credential = {"id": "k1", "sha256": sha256_of(f"{fleet}-k1")}
    return {
        "region": "eu-west",
        "data_centres": {"dc-a": {"hop_ms": 1.2, "client_ms": 2.4}},
        "services": {
            "parts": {"kind": "model", "model": "parts-1"},
            "orders": {
                "kind": "plain",
                "calls": [
                    {"method": "GET", "path": "/take/*", "repeatable": False},
                    {"method": "GET", "path": "/take/look", "repeatable": True},
                    {"method": "POST", "path": "/search", "repeatable": True},
                ],
            },
        },
        "upstreams": {
            name: upstream | {"url": f"http://127.0.0.1:{first_port + index}"}
            for index, name in enumerate(("parts-a2", "parts-a1"))
        },
        "workspaces": {
            "counter": {"weight": 4, "max_priority": 9, "credentials": [credential]}
        },
    }


def inventory_document() -> dict[str, Any]:
    """Return a valid document of two fleets with the same short names."""
    fleets = {
        "grabhandle": fleet_document("grabhandle", 9001),
        "klasite": fleet_document("klasite", 9101),
    }
    return {"format": 1, "fleets": fleets, "rules": {"claims": {"window_s": 600}}}


def document_with(path: str, value: Any) -> dict[str, Any]:
    """Return the valid document with one value set, at a path of keys."""
    document = copy.deepcopy(inventory_document())
    *parents, key = path.split("/")
    container = document
    for parent in parents:
        container = container[parent]
    container[key] = value
    return document
