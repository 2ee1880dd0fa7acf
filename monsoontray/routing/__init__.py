"""Routing of requests by host and path prefix."""
