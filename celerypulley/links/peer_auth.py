"""Mutual authentication of peers with a shared secret."""

import hashlib
import hmac
import secrets

__all__ = ["PeerRefusedError", "make_nonce", "make_proof", "verify_proof"]

_NONCE_BYTES = 16


class PeerRefusedError(Exception):
    """The peer failed to authenticate, or did not follow the handshake."""


def make_nonce() -> bytes:
    """Return a new random nonce."""
    return secrets.token_bytes(_NONCE_BYTES)


def make_proof(secret: str, role: str, member: str, domain: str, nonce: bytes) -> bytes:
    """Return an HMAC that proves that `member` of `domain` knows the secret.

    `role` names the side of the handshake, so that a proof cannot be reflected.
    """
    text = f"{role}\0{member}\0{domain}\0".encode() + nonce
    return hmac.new(secret.encode(), text, hashlib.sha256).digest()


def verify_proof(expected: bytes, received: bytes) -> None:
    """Raise PeerRefusedError unless the proofs are equal."""
    if not hmac.compare_digest(expected, received):
        raise PeerRefusedError("the peer gave a wrong proof of the shared secret")
