"""Types and helpers shared by all programs: logging, TOML, messages."""
