"""Sessions of callers: windows, part reassembly and execution."""
