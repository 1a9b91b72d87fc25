"""Members: the running hosts, each under a name that is unique to one start."""

import attrs
import orjson

from celerypulley.settings import Address

__all__ = ["MEMBERS_PREFIX", "Member", "host_of_member"]

MEMBERS_PREFIX = "celerypulley/hosts/"


@attrs.frozen
class Member:
    """One start of one host."""

    name: str
    domain: str
    peer_address: Address
    admin_address: Address
    leaving: bool = False

    @property
    def key(self) -> str:
        """Return the member's key in the key-value store."""
        return MEMBERS_PREFIX + self.name

    def encode(self) -> bytes:
        """Return the member as JSON."""
        return orjson.dumps(
            {
                "name": self.name,
                "domain": self.domain,
                "peer_address": str(self.peer_address),
                "admin_address": str(self.admin_address),
                "leaving": self.leaving,
            }
        )

    @classmethod
    def decode(cls, raw: bytes) -> "Member":
        """Decode a member; raise ValueError if it is malformed."""
        fields = orjson.loads(raw)
        fields["peer_address"] = Address.parse(fields["peer_address"])
        fields["admin_address"] = Address.parse(fields["admin_address"])
        return cls(**fields)


def host_of_member(member_name: str) -> str:
    """Return the name of a member's host, which is the same after a restart."""
    return member_name.partition("+")[0]
