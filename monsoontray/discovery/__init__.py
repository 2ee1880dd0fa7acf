"""Discovery of other nodes and their backend servers through the platform's store."""
