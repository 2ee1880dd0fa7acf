"""Translate between the users' platform and the product; decide nothing."""
