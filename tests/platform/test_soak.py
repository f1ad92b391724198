import asyncio

import pytest

from tests.platform import soak


@pytest.mark.parametrize("seed", [1, *soak.REGRESSION_SEEDS])
def test_invariants_hold_under_random_faults(tmp_path, seed):
    result, faults = asyncio.run(soak.run_soak(tmp_path, seed))
    assert result.violations == [], faults
    assert result.answered > 50
