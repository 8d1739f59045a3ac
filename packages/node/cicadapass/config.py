"""The settings of a node."""

from dataclasses import dataclass

from cicadapass_decisions.options import option
from cicadapass_decisions.problems import Problem

PORT_MAX = 65_535


@dataclass(frozen=True, slots=True)
class AddressSettings:
    """Configure one address that the node listens on."""

    host: str = option("127.0.0.1", "The IP address to listen on.")
    port: int = option(0, "The port; 0 takes a free one.", low=0, high=PORT_MAX)
    certificate: str | None = option(None, "Path of the TLS certificate chain.")
    private_key: str | None = option(None, "Path of the TLS private key.")


@dataclass(frozen=True, slots=True)
class PeerAddressSettings(AddressSettings):
    """Configure the address for other nodes, and the one advertised to them."""

    authority: str | None = option(
        None, "Path of the certificates that those of peers are checked with."
    )
    advertised_host: str | None = option(
        None, "The IP address that other nodes use, if it is not that of `host`."
    )
    advertised_port: int | None = option(
        None, "The port that other nodes use, if not `port`.", low=1, high=PORT_MAX
    )


@dataclass(frozen=True, slots=True)
class SeedSettings:
    """Configure one node that is queried for members at the start."""

    host: str = option(meaning="The IP address of the node.")
    peer_port: int = option(meaning="The node's port for peers.", low=1, high=PORT_MAX)


@dataclass(frozen=True, slots=True)
class HttpSettings:
    """Configure the resource limits of the callers' HTTP server."""

    min_threads: int = option(
        24, "Threads that always wait for callers.", low=2, high=1024
    )
    max_threads: int = option(
        1024, "The most threads that serve callers.", low=2, high=8192
    )
    idle_reserve: int = option(
        8, "Idle threads kept beside long streams.", low=1, high=256
    )
    max_header_bytes: int = option(
        16_384, "Largest request head.", low=1024, high=2**20
    )
    max_body_bytes: int = option(
        8 * 2**20, "Largest request body.", low=1024, high=2**30
    )
    max_connections: int = option(
        4096, "The most open connections of callers.", low=1, high=2**20
    )
    receive_timeout_s: float = option(
        10.0,
        "How long a request may take to arrive.",
        low=0.1,
        high=600,
    )


@dataclass(frozen=True, slots=True)
class StatsdSettings:
    """Configure the statsd server; without a host no metrics are sent."""

    host: str | None = option(None, "The IP address of the statsd server.")
    port: int = option(8125, "Its UDP port.", low=1, high=PORT_MAX)
    prefix: str = option("cicadapass", "The first part of each metric's name.")


@dataclass(frozen=True, slots=True)
class DrainSettings:
    """Configure the time limits of a planned stop."""

    grace_s: float = option(
        600.0,
        "How long a planned stop waits for requests in progress.",
        low=0,
        high=86_400,
    )
    announce_s: float = option(
        0.5,
        "How long the node still accepts after readiness went false.",
        low=0,
        high=60,
    )


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """Define the settings of a node."""

    name: str = option(meaning="The VM's name.", pattern="^[A-Za-z0-9-]+$")
    fleet: str = option(meaning="The fleet that the node belongs to.")
    data_centre: str = option(meaning="The data centre that the VM stands in.")
    log_url: str = option(meaning="The base URL of the log service.")
    shared_secret: str = option(
        meaning="The secret that all nodes share, of at least 16 characters.",
        pattern="^.{16,}$",
    )
    operator_sha256: str = option(
        meaning="The SHA-256 of the operators' credential, in hexadecimal.",
        pattern="^[0-9a-f]{64}$",
    )
    log_stream: str = option("cicadapass", "The stream of the configuration.")
    vm_list_url: str | None = option(None, "The base URL of the VM list.")
    notices_url: str | None = option(None, "The base URL of the cloud's notices.")
    callers: AddressSettings = option(AddressSettings(), "The callers' address.")
    operators: AddressSettings = option(AddressSettings(), "The operators' address.")
    peers: PeerAddressSettings = option(
        PeerAddressSettings(), "The address for other nodes."
    )
    seeds: tuple[SeedSettings, ...] = option((), "Nodes to ask for members.")
    http: HttpSettings = option(HttpSettings(), "Limits towards callers.")
    statsd: StatsdSettings = option(StatsdSettings(), "Where metrics go.")
    drain: DrainSettings = option(DrainSettings(), "Bounds of a planned stop.")
    claim_stream: str = option(
        "cicadapass-claims", "The stream of the claims of idempotency keys."
    )
    max_claims: int = option(
        200_000, "The most claims that the index holds.", low=1000, high=10**8
    )
    log_retention_s: float = option(
        86_400.0,
        "How long the log keeps records.",
        low=1,
        high=10**8,
    )
    answers_keep_s: float = option(
        30.0,
        "How long a finished answer is kept for a caller who returns.",
        low=1,
        high=86_400,
    )
    answers_max_bytes: int = option(
        64 * 2**20,
        "The most bytes of finished answers that are kept.",
        low=2**16,
        high=2**34,
    )
    upstream_read_timeout_s: float = option(
        30.0,
        "The longest silence of an upstream.",
        low=0.1,
        high=3600,
    )


def conflicts(settings: NodeSettings) -> tuple[Problem, ...]:
    """Return a problem for each address with only one of certificate and key."""
    addresses = {
        "callers": settings.callers,
        "operators": settings.operators,
        "peers": settings.peers,
    }
    return tuple(
        Problem(
            f"/{name}",
            "one of certificate and private_key",
            "both or neither",
            "set both paths, or remove the one that is set",
        )
        for name, address in addresses.items()
        if (address.certificate is None) != (address.private_key is None)
    )
