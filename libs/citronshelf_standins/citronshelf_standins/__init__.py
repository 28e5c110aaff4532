"""Development stand-ins for backend servers, platform and network paths."""
