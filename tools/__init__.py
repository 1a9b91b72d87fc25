"""Development tools: a local cluster, demo, soak test, checks and the build."""
