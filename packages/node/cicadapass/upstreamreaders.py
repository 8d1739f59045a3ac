"""Read load reports and cache events of upstreams over HTTP."""

from typing import Any

from cicadapass.engines import EngineClient
from cicadapass.upstreamtable import (
    CacheReading,
    LoadReading,
    UpstreamConfig,
    UpstreamReaders,
)
from cicadapass_decisions.policy import PrefixRules
from cicadapass_decisions.prefix import CacheEvent, hints_from_listing

ENGINE_LOAD_PATH = "/v1/load"
SERVICE_LOAD_PATH = "/load"


class ReadFailed(Exception):
    """Raised when an upstream returns no usable report."""


def http_readers(client: EngineClient, rules: PrefixRules) -> UpstreamReaders:
    """Return functions that read upstreams over HTTP and raise on any failure."""

    def read_load(config: UpstreamConfig) -> LoadReading:
        path = SERVICE_LOAD_PATH if config.plain else ENGINE_LOAD_PATH
        return _parse_reading(_get(client, config, path))

    def read_cache(config: UpstreamConfig, sequence: int | None) -> CacheReading:
        if sequence is None:
            listing = _get(client, config, "/v1/cache")
            blocks = [str(block) for block in listing["blocks"]]
            return CacheReading(
                resync=hints_from_listing(int(listing["sequence"]), blocks, rules)
            )
        path = f"/v1/cache-events?after={sequence}"
        events = _get(client, config, path)["events"]
        return CacheReading(tuple(_parse_event(item) for item in events))

    return UpstreamReaders(read_load=read_load, read_cache=read_cache)


def _get(client: EngineClient, config: UpstreamConfig, path: str) -> dict[str, Any]:
    result = client.get_json(config.url, path)
    if result.is_error():
        raise ReadFailed(result.error.reason)
    return result.ok


def _parse_reading(report: dict[str, Any]) -> LoadReading:
    return LoadReading(
        running=int(report["running"]),
        waiting=int(report["waiting"]),
        slots=int(report["slots"]),
        leaving=bool(report.get("leaving", False)),
        incarnation=str(report.get("incarnation", "")),
        sequence=int(report.get("sequence", 0)),
    )


def _parse_event(item: dict[str, Any]) -> CacheEvent:
    return CacheEvent(
        int(item["sequence"]),
        tuple(str(block) for block in item.get("stored", ())),
        tuple(str(block) for block in item.get("removed", ())),
    )
