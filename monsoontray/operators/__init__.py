"""Serve operators, announcements and metrics over HTTP (CherryPy)."""
