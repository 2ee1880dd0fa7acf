"""Routes by host and path prefix: the model that requests are routed by."""
