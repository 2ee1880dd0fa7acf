"""Forward calls from callers to backend servers over HTTP/1.1."""
