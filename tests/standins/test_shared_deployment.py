import pathlib

from tests.standins import shared_deployment


class Processes:
    """Processes that have ended with exit code 3."""

    def wait(self, name, timeout_s):
        assert (name, timeout_s) == ("b1", 15)
        return 3


class Deployment:
    processes = Processes()


def test_exit_code_of_a_stopped_balancer_is_in_the_report():
    """Guards against a report that accepts every planned stop, because it
    gets no exit codes.
    """
    shared = shared_deployment.SharedDeployment()
    shared._deployment = Deployment()
    assert shared.wait_for_exit("b1", 15) == 3
    assert shared.stop_codes == [3]


def test_steps_wait_for_an_exit_through_the_shared_deployment():
    """Guards against a step whose exit code misses in the report."""
    steps = pathlib.Path(__file__).parents[1] / "features" / "steps"
    text = (steps / "whole_path.py").read_text()
    assert "processes.wait(" not in text
