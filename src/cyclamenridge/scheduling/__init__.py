"""Admission, slot shares and server choice of a service."""
