"""Let nodes find each other and carry news of servers and versions."""
