"""Configuration model, loading, revisions and differences."""
