"""Contracts: keys, rates, budgets and the declared configuration."""
