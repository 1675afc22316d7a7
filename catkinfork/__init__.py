"""A router fleet for workspaces that share request capacity fairly."""

__version__ = "0.1.0"

__all__ = ["__version__"]
