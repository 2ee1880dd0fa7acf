"""The duty to report the usage of customers, which one node holds at a time."""
