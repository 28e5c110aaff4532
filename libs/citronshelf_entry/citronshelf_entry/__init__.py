"""Entry daemon: the data path of one instance."""
