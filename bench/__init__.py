"""Stand-ins, experiments and load for measuring monsoontray."""
