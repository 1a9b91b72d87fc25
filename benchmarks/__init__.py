"""Benchmarks: costs, slopes and ratios, each within one run."""
