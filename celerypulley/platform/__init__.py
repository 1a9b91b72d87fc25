"""The adapter to the Aguapunto platform: names and forms on the wire, nothing else."""
