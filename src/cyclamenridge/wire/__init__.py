"""Messages exchanged with callers and backend servers."""
