"""Rollouts: move a service's calls to a new version, or roll the version back."""
