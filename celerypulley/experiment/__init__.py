"""Experiments that compare policies on a seeded workload in virtual time."""
