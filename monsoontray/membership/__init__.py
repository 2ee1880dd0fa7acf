"""Membership of the fleet: nodes exchange records of servers and versions by gossip."""
