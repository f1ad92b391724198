from tests.platform import deployment


def test_ports_of_a_deployment_differ():
    """A balancer could not listen for /ready and /metrics on one port."""
    for _ in range(200):
        ports = deployment.free_ports(100)
        assert len(set(ports)) == len(ports)
