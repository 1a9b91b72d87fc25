"""A scheduler for agent programs in front of model engines and plain services."""

__all__ = ["__version__"]

__version__ = "0.1.0"
