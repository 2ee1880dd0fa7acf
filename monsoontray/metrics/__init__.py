"""Count what the node does."""
