"""Metrics of the node."""
