"""Benchmarks of costs, with comparisons made within one run."""
