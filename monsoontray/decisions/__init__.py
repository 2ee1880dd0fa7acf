"""Decide from state and messages alone: no sockets, clocks or encodings."""
