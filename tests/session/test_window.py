import hypothesis
from hypothesis import strategies

from cyclamenridge import address
from cyclamenridge.session import window as window_lib

SOURCE = address.Address("10.0.0.1", 5000)


def accept(window, seq):
    """Accept a number as the owner of a session does."""
    if seq < window.floor or seq in window.records:
        return False
    if window.admit(seq) is None:
        return False
    window.records[seq] = window_lib.Record(
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
    """Guards against a run of a copy whose record has left the window."""
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
                window.acknowledged(record)
        assert len(window.records) <= window_lib.WINDOW


def test_request_in_progress_stays_in_the_window():
    """Guards against an outcome that no record is left to take."""
    window = window_lib.Window()
    assert accept(window, 1)
    assert not accept(window, 1 + window_lib.WINDOW)
    window.records[1].phase = window_lib.Phase.DONE
    assert accept(window, 1 + window_lib.WINDOW)
