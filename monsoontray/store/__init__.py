"""Client interface of the platform's key-value service."""
