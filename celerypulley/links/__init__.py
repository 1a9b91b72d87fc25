"""Links to callers, peers, backend servers and the key-value store."""
