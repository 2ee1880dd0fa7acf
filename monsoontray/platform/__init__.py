"""Translate between the users' platform and monsoontray; make no decisions."""
