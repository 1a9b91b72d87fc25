"""Mutual proof of the secret that peers share."""

import hashlib
import hmac
import secrets

__all__ = ["PeerRefusedError", "make_nonce", "make_proof", "verify_proof"]

_NONCE_BYTES = 16


class PeerRefusedError(Exception):
    """The other side did not prove that it knows the secret."""


def make_nonce() -> bytes:
    """Return a nonce that has not been used before."""
    return secrets.token_bytes(_NONCE_BYTES)


def make_proof(secret: str, role: str, member: str, domain: str, nonce: bytes) -> bytes:
    """Return the proof that `member` of `domain` knows the secret."""
    text = f"{role}\0{member}\0{domain}\0".encode() + nonce
    return hmac.new(secret.encode(), text, hashlib.sha256).digest()


def verify_proof(expected: bytes, received: bytes) -> None:
    """Raise PeerRefusedError unless the proofs agree."""
    if not hmac.compare_digest(expected, received):
        raise PeerRefusedError("the proof of the peer secret is wrong")
