import hypothesis
from hypothesis import strategies

from cyclamenridge import address
from cyclamenridge.session import window as window_lib

SOURCE = address.Address("10.0.0.1", 5000)


def accept(window, seq):
    """Create a record in the way ``SessionOwner`` does."""
    if seq < window.base_seq or seq in window.records:
        return False
    if window.advance(seq) is None:
        return False
    window.records[seq] = window_lib.RequestRecord(
        seq, 1, kind="change", parts=1, source=SOURCE, msgid=1, now_ms=0
    )
    return True


@hypothesis.given(
    strategies.lists(
        strategies.tuples(strategies.integers(1, 1500), strategies.booleans()),
        max_size=300,
    )
)
@hypothesis.settings(derandomize=True, deadline=None)
def test_each_number_is_accepted_once(steps):
    """Guards against running a late copy whose record was evicted."""
    window = window_lib.Window()
    accepted = set()
    for seq, finish in steps:
        if accept(window, seq):
            assert seq not in accepted
            accepted.add(seq)
        record = window.records.get(seq)
        if record is not None and finish:
            record.phase = window_lib.Phase.DONE
            if seq % 2:
                window.acknowledge(record)
        assert len(window.records) <= window_lib.WINDOW_SIZE


def test_request_in_progress_is_not_evicted():
    """Guards against evicting a record whose outcome is still to come."""
    window = window_lib.Window()
    assert accept(window, 1)
    assert not accept(window, 1 + window_lib.WINDOW_SIZE)
    window.records[1].phase = window_lib.Phase.DONE
    assert accept(window, 1 + window_lib.WINDOW_SIZE)
