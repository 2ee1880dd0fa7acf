"""Move a service's calls to a new version, or take the version back."""
