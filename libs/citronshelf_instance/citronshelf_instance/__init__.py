"""Instance daemon that forwards callers' requests to backend servers."""
