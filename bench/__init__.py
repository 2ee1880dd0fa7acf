"""Experiments that measure monsoontray, with the stand-ins and load they need."""
