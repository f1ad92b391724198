import hypothesis
from hypothesis import strategies

from cyclamenridge.session import parts as parts_lib


@hypothesis.given(
    strategies.binary(max_size=5000),
    strategies.lists(strategies.integers(0, 9), max_size=60),
)
@hypothesis.settings(derandomize=True, deadline=None)
def test_parts_in_any_order_are_reassembled(payload, order):
    """Guards against lost, duplicated or reordered parts in a payload."""
    count = parts_lib.count(payload)
    buffer = parts_lib.PartBuffer(count)
    seen = set()
    for index in order:
        fresh = buffer.add(index, parts_lib.part(payload, index))
        assert fresh is (index < count and index not in seen)
        seen.add(index)
    missing = [i for i in range(count) if i not in seen]
    assert buffer.complete is (not missing)
    assert buffer.first_missing == (missing[0] if missing else count)
    for index in missing:
        buffer.add(index, parts_lib.part(payload, index))
    assert buffer.complete
    assert buffer.join() == payload
