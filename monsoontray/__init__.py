"""Distribute plans and routes to the nodes of a service mesh."""

__version__ = "0.1.0"
