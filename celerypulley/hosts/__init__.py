"""Hosts of the fleet: the services that one process runs."""
