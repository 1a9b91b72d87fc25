"""Failure domains: which host owns and which replicates each shard."""
