"""Tools of the repository: a cluster on loopback, the demo, the soak, slopes."""
