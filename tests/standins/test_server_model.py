import random

import msgspec

from cyclamenridge.wire import backend
from cyclamenridge.wire import rpc
from tests.standins import server_model


class ModelHarness:
    """A model with a client that encodes requests and decodes responses."""

    def __init__(self, **profile):
        self.model = server_model.ServerModel(
            "album",
            "album-1",
            profile=server_model.Profile(work_variation=0, **profile),
            rng=random.Random(1),
        )
        self._msgid = 0
        self.connect(1, "b1")

    def connect(self, conn, balancer):
        self.model.connected(0, conn)
        hello = backend.Hello("album", "album-1", balancer)
        self.request(0, "hello", hello, conn=conn)

    def request(self, now_ms, method, params, conn=1):
        self._msgid += 1
        data = rpc.request(self._msgid, method, params)
        return decode_messages(
            self.model.message(now_ms, conn, rpc.decode(data))
        )

    def run(self, now_ms, seq, payload=b"x", deadline_ms=1000):
        params = backend.Run(7, seq, "edit", "c", deadline_ms, payload)
        return self.request(now_ms, "run", params)


def decode_messages(out):
    return [rpc.decode(item.data) for item in out]


def decode_status(message):
    return msgspec.msgpack.decode(message.result, type=backend.RunStatus)


def test_run_is_queued_for_a_slot_and_refused_when_the_queue_is_full():
    server = ModelHarness(slots=1, queue_limit=1, default_ms=10)
    assert server.run(0, 1) == []
    assert server.run(0, 2) == []
    assert [m.error for m in server.run(0, 3)] == ["busy"]
    done = decode_messages(server.model.tick(10)) + decode_messages(
        server.model.tick(20)
    )
    assert [m.error for m in done] == [None, None]
    assert [r.seq for r in server.model.records] == [1, 2]


def test_resolve_fences_a_request_that_has_not_arrived():
    """A delayed request must not run after ``resolve`` returned not_run."""
    server = ModelHarness()
    key = backend.RequestKey(7, 1)
    (answer,) = server.request(0, "resolve", key)
    assert decode_status(answer).state == backend.RunState.NOT_RUN
    assert [m.error for m in server.run(1, 1)] == ["cancelled"]
    assert server.model.records == []


def test_resolve_reports_running_then_the_answer():
    server = ModelHarness(default_ms=10)
    server.run(0, 1, b"page")
    key = backend.RequestKey(7, 1)
    (answer,) = server.request(5, "resolve", key)
    assert decode_status(answer).state == backend.RunState.RUNNING
    *_, answer = server.request(10, "resolve", key)
    assert decode_status(answer).payload == b"album/album-1 page"


def test_queued_request_expires_without_running():
    server = ModelHarness(slots=1, queue_limit=1, default_ms=100)
    server.run(0, 1)
    server.run(0, 2, deadline_ms=50)
    assert server.model.next_due_ms() == 50
    assert [m.error for m in decode_messages(server.model.tick(50))] == [
        "expired"
    ]


def test_no_work_before_hello_names_this_server():
    """A link to an address that another server reuses must run nothing (P2).

    The hello on connection 2 names another service.
    """
    server = ModelHarness()
    server.model.connected(0, 2)
    hello = backend.Hello("intake", "intake-1", "b1")
    server.request(0, "hello", hello, conn=2)
    params = backend.Run(7, 1, "edit", "c", 1000, b"")
    (answer,) = server.request(0, "run", params, conn=2)
    assert answer.error == "wrong_service"


def test_flow_moves_to_a_higher_epoch_and_resends_events():
    server = ModelHarness(event_interval_ms=100)
    server.connect(2, "b2")
    attach = backend.Attach(9, 1, "feed", "c", 0, True)
    server.request(0, "attach", attach)
    server.model.tick(300)
    moved = backend.Attach(9, 2, "feed", "c", 1, False)
    answer, notice, *events = server.request(300, "attach", moved, conn=2)
    assert msgspec.msgpack.decode(answer.result) == [2]
    assert notice.method == "moved"
    assert msgspec.msgpack.decode(notice.params) == [9, 2]
    assert [msgspec.msgpack.decode(e.params)[1] for e in events] == [2, 3]
    (answer,) = server.request(300, "attach", attach)
    assert answer.error == "stale_epoch"


def test_equal_epoch_of_another_balancer_is_refused():
    """Two successors of one owner must not both attach the flow."""
    server = ModelHarness()
    server.connect(2, "b2")
    attach = backend.Attach(9, 1, "feed", "c", 0, True)
    server.request(0, "attach", attach)
    (answer,) = server.request(0, "attach", attach, conn=2)
    assert answer.error == "stale_epoch"


def test_draining_refuses_new_work_and_keeps_flows():
    server = ModelHarness()
    server.request(0, "attach", backend.Attach(9, 1, "f", "c", 0, True))
    (notice,) = decode_messages(server.model.drain(1))
    assert notice.method == "draining"
    assert [m.error for m in server.run(2, 1)] == ["draining"]
    create = backend.Attach(10, 1, "f", "c", 0, True)
    (answer,) = server.request(2, "attach", create)
    assert answer.error == "draining"
    again = backend.Attach(9, 2, "f", "c", 0, False)
    assert server.request(3, "attach", again)[0].error is None


def test_each_load_mode_reports_its_load():
    for mode, expected in (
        (server_model.LoadMode.REAL, 1),
        (server_model.LoadMode.ZERO, 0),
        (server_model.LoadMode.LAGGING, 0),
        (server_model.LoadMode.FROZEN, 0),
    ):
        server = ModelHarness(load_mode=mode)
        server.model.load(0)
        server.run(1, 1)
        assert server.model.load(2).slots_used == expected, mode
