"""Start services by name and carry messages between their tasks."""
