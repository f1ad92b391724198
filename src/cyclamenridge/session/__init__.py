"""Request sessions, windows and part reassembly."""
