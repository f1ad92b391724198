"""Membership and configuration exchange between balancers."""
