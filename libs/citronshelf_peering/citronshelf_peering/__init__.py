"""Replicates configuration and evidence over authenticated peer links."""
