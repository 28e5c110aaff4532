"""One daemon for an instance that reads routes and registrations."""
