"""HTTP plumbing beside the forwarding of calls: a client and a server."""
