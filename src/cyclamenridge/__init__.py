"""Layer-4 load balancer with flow affinity and scheduling by precedence."""
