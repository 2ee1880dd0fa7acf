"""The command line (fire)."""
