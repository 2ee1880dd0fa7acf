"""Decoding of what other parties write: a value in range, or a refusal."""
