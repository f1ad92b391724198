from cyclamenridge.flow import refusals
from tests.flow import builders


def test_an_answer_without_a_body_is_a_refusal():
    detector = refusals.RefusalDetector()
    assert not detector.record("feed", 2000)
    assert detector.record("feed", 146)
    assert not detector.record("feed", 700)


def test_a_route_with_short_answers_has_no_refusals():
    """Its servers would count as full while they work."""
    detector = refusals.RefusalDetector()
    for _ in range(100):
        assert not detector.record("ping", 120)
    assert not detector.record("ping", 240)


def test_refusals_do_not_change_what_is_usual():
    """In a burst nearly all answers may be refusals."""
    detector = refusals.RefusalDetector()
    detector.record("feed", 500)
    assert all(detector.record("feed", 146) for _ in range(1000))


def test_a_refusal_is_counted_and_no_answer_time():
    """The limit for each slot rose because refusals were fast answers."""
    core = builders.make_core(builders.server_entry(1))
    flow = builders.Flow(core)
    flow.open(0)
    flow.request(10)
    flow.acknowledge(60)
    flow.request(100)
    flow.acknowledge(145, length=146)
    assert core.counters["refusals"] == 1
    assert core.latencies["first_answer"].sum_ms == 50
    stats = core.server_stats.for_server("i-00000001")
    assert stats.last_refusal_ms == 145
    assert stats.pending == 0
