"""Hash-based placement of sessions, feeds and flows."""
