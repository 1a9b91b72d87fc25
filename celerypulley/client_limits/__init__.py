"""What a process may hold for its clients."""
