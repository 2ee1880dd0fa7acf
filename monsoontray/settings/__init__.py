"""Declare, validate and load the settings of a node."""
