"""Load: seeded programs, a client that follows them, and checks of promises."""
