"""Failure domains: members, and the owner and replica of each shard."""
