"""Experiments: policies compared on one seeded workload in virtual time."""
