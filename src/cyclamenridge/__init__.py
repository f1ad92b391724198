"""Layer-4 load balancer that keeps flows alive and ranked work flowing."""
