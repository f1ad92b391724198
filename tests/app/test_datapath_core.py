from benchmarks import datapath_core


def test_benchmark_measures_all_requested_flows():
    """Guards against figures per flow that count refused flows."""
    metrics = datapath_core.measure(500, 1)
    assert metrics["flows_held"] == 500
    assert metrics["forward_mean_us"] > 0
