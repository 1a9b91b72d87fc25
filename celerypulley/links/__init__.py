"""Links: callers, peers, backend servers and the platform's service."""
