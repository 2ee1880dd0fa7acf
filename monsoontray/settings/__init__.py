"""Declare, check and load the settings of a node."""
