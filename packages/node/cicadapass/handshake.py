"""Handshake of two peers: versions, addresses and proofs of the shared secret."""

import hashlib
import hmac
import json
import secrets
from dataclasses import replace

from cicadapass.peererrors import PeerError, PeerFault
from cicadapass_common.messages import Hello, HelloProof, HelloReply
from cicadapass_common.wire import MAJOR_VERSION
from cicadapass_decisions.types import NodeAddress

MIN_VERSION = MAJOR_VERSION
MAX_VERSION = MAJOR_VERSION
NONCE_BYTES = 16
# Limits the memory that an unauthenticated peer can occupy.
MAX_HANDSHAKE_BYTES = 4096
# The labels differ so that a client cannot reuse the server's proof as its own.
_SERVER_LABEL = b"server"
_CLIENT_LABEL = b"client"


def new_hello(local: NodeAddress) -> Hello:
    """Return the client's first message, with a random nonce."""
    return Hello(MIN_VERSION, MAX_VERSION, local, secrets.token_bytes(NONCE_BYTES))


def answer_hello(hello: Hello, local: NodeAddress, secret: bytes) -> HelloReply:
    """Return the server's reply; raise PeerError if there is no common version."""
    version = min(hello.max_version, MAX_VERSION)
    if version < max(hello.min_version, MIN_VERSION):
        versions = f"{hello.min_version} to {hello.max_version}"
        raise PeerError(
            PeerFault.WRONG_VERSION, f"the peer supports versions {versions}"
        )
    reply = HelloReply(version, local, secrets.token_bytes(NONCE_BYTES), b"")
    return replace(reply, proof=_proof(_SERVER_LABEL, hello, reply, secret))


def check_reply(
    hello: Hello, reply: HelloReply, target: NodeAddress, secret: bytes
) -> None:
    """Raise PeerError unless the server knows the secret and is the target.

    A target without a name is a seed from the settings, where any node may answer.
    """
    if not MIN_VERSION <= reply.version <= MAX_VERSION:
        detail = f"the peer chose version {reply.version}"
        raise PeerError(PeerFault.WRONG_VERSION, detail)
    expected = _proof(_SERVER_LABEL, hello, reply, secret)
    if not hmac.compare_digest(expected, reply.proof):
        raise PeerError(PeerFault.WRONG_SECRET, "the server's proof is wrong")
    if target.name and reply.address.vm != target.vm:
        actual_node = f"{reply.address.name} ({reply.address.incarnation})"
        raise PeerError(PeerFault.WRONG_NODE, f"the address belongs to {actual_node}")


def client_proof(hello: Hello, reply: HelloReply, secret: bytes) -> HelloProof:
    """Return the client's proof that it knows the secret."""
    return HelloProof(_proof(_CLIENT_LABEL, hello, reply, secret))


def check_client(
    hello: Hello, reply: HelloReply, proof: HelloProof, secret: bytes
) -> None:
    """Raise PeerError unless the client knows the secret."""
    expected = _proof(_CLIENT_LABEL, hello, reply, secret)
    if not hmac.compare_digest(expected, proof.proof):
        raise PeerError(PeerFault.WRONG_SECRET, "the client's proof is wrong")


def _proof(label: bytes, hello: Hello, reply: HelloReply, secret: bytes) -> bytes:
    # Covers only values that every minor version sends. A peer of an older version
    # drops newer fields, so its proof over them would look like a wrong secret.
    values = [
        [hello.min_version, hello.max_version, reply.version],
        [hello.nonce.hex(), reply.nonce.hex()],
        _address_values(hello.address),
        _address_values(reply.address),
    ]
    transcript = json.dumps(values).encode()
    return hmac.new(secret, label + transcript, hashlib.sha256).digest()


def _address_values(address: NodeAddress) -> list[str | int]:
    return [
        address.name,
        address.incarnation,
        address.fleet,
        address.data_centre,
        address.host,
        address.peer_port,
    ]
