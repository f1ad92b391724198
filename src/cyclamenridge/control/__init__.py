"""Control plane: membership, configuration and demands of balancers."""
