"""Decisions, made from state and messages without sockets, clocks or encodings."""
