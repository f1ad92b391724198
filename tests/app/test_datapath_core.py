from benchmarks import datapath_core


def test_core_holds_the_flows_that_are_measured():
    """A figure per flow means nothing when flows were refused."""
    metrics = datapath_core.measure(500, 1)
    assert metrics["flows_held"] == 500
    assert metrics["forward_mean_us"] > 0
