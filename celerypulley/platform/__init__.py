"""Adapter for the Aguapunto platform: key names and wire formats only."""
