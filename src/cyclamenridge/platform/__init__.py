"""Translation between the platform's names, formats and calls and ours."""
