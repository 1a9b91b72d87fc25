"""Records on a disk that must survive a loss of power."""
