"""Records on a disk that must outlast a loss of power."""
