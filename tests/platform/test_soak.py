import asyncio

import pytest

from tests.platform import soak


@pytest.mark.parametrize("seed", [1, *soak.REGRESSIONS])
def test_promises_hold_through_random_faults(tmp_path, seed):
    account, faults = asyncio.run(soak.play(tmp_path, seed))
    assert account.broken == [], faults
    assert account.answered > 50
