"""Experiments of the measuring contract."""
