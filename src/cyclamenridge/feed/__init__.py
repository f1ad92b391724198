"""Long-lived flows between callers and backend servers."""
