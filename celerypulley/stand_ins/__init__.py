"""Simulated platform services for tests, the demo and benchmarks."""
