"""HTTP API for operators, server announcements and metrics, with CherryPy."""
