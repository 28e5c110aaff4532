"""Read-only command-line client for operators."""
