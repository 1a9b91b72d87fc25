"""Entry hosts: what one process of the system owns and runs."""
