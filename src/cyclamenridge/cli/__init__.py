"""Command groups of the command line."""
