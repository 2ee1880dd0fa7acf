"""Reach the platform's key-value service."""
