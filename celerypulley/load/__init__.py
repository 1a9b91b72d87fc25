"""Load generation: seeded programs, a client that runs them, and result checks."""
