"""Keys of organisations: shown once, stored as salted hashes."""

import hashlib
import hmac
import re
import secrets

import attrs

__all__ = ["GeneratedKey", "KeyRing", "StoredKey", "generate_key", "parse_key"]

_KEY_PATTERN = re.compile(r"cp_([0-9a-f]{16})_([0-9A-Za-z_-]{32})")
_ID_BYTES = 8
_SECRET_BYTES = 24
_SALT_BYTES = 16
_DUMMY_SALT = b"\0" * _SALT_BYTES


@attrs.frozen
class StoredKey:
    """The stored form of a key, without its secret."""

    key_id: str
    organisation: str
    salt: str
    digest: str
    given_ms: int


@attrs.frozen
class GeneratedKey:
    """A new key: `text` is shown once, only `stored` is written."""

    text: str = attrs.field(repr=False)
    stored: StoredKey


def generate_key(organisation: str, given_ms: int) -> GeneratedKey:
    """Return a new random key for an organisation."""
    key_id = secrets.token_hex(_ID_BYTES)
    secret = secrets.token_urlsafe(_SECRET_BYTES)
    salt = secrets.token_bytes(_SALT_BYTES)
    stored = StoredKey(
        key_id, organisation, salt.hex(), _digest(salt, secret), given_ms
    )
    return GeneratedKey(f"cp_{key_id}_{secret}", stored)


def parse_key(text: str) -> tuple[str, str] | None:
    """Return the identifier and secret of a key, or None if it is malformed."""
    match = _KEY_PATTERN.fullmatch(text)
    if match is None:
        return None
    return match.group(1), match.group(2)


class KeyRing:
    """The keys in force, by identifier."""

    def __init__(self, keys: tuple[StoredKey, ...]) -> None:
        """Accept exactly `keys`."""
        self._keys = {key.key_id: key for key in keys}

    def __len__(self) -> int:
        """Return the number of keys in force."""
        return len(self._keys)

    def is_in_force(self, key_id: str) -> bool:
        """Return whether a key exists and has not been withdrawn."""
        return key_id in self._keys

    def find(self, text: str) -> StoredKey | None:
        """Return the stored key that matches `text`; compare in constant time."""
        parts = parse_key(text)
        if parts is None:
            return None
        key_id, secret = parts
        stored = self._keys.get(key_id)
        salt = bytes.fromhex(stored.salt) if stored else _DUMMY_SALT
        expected = stored.digest if stored else _digest(_DUMMY_SALT, "")
        matches = hmac.compare_digest(expected, _digest(salt, secret))
        return stored if stored is not None and matches else None


def _digest(salt: bytes, secret: str) -> str:
    return hashlib.sha256(salt + secret.encode()).hexdigest()
