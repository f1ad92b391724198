"""Flows at servers that are gone are reset; all others are left alone."""

import pytest

from cyclamenridge.flow import directory
from cyclamenridge.flow import effects
from tests.flow import builders

SERVERS = [builders.server_entry(number) for number in range(1, 8)]


class Scene:
    """A flow with an unanswered request, beside a server that answers.

    ``step`` moves the time on by 200 ms.
    """

    def __init__(self, port=builders.FEED_PORT):
        self.now_ms = 10_000
        self.core = builders.make_core(*SERVERS)
        self.core.record_store_answer(0)
        self.flow = builders.Flow(self.core, port=port, client_port=1)
        self.forward = self.flow.open(self.now_ms)
        self.server = self.core.directory.by_token(self.forward.token)
        self.flow.request(self.now_ms)
        self.flow.acknowledge(self.now_ms + 40)
        self.healthy = builders.Flow(self.core, client_port=2)
        number = 2
        while self.healthy.open(self.now_ms + 50).ident == self.forward.ident:
            number += 1
            self.healthy = builders.Flow(self.core, client_port=number)
        self.step()
        self.flow.request(self.now_ms)

    def step(self, *, healthy=True):
        self.now_ms += 200
        if healthy:
            self.healthy.request(self.now_ms)
            self.healthy.acknowledge(self.now_ms + 10)

    def retransmit(self, times=3, **kwargs):
        """Return what became of the last retransmission."""
        for _ in range(times):
            self.step(**kwargs)
            out = self.flow.retransmit(self.now_ms + 20)
            if out == effects.RESET:
                break
        return out

    def remove(self, server=None):
        name = (server or self.server).entry.name
        assert self.core.directory.remove(self.now_ms, name, builders.at(900))


@pytest.mark.parametrize("port", [builders.FEED_PORT, builders.PUSH_PORT])
def test_a_request_at_a_server_that_is_gone_is_reset(port):
    """Before, its client waited for its deadline (incident inc-6549)."""
    scene = Scene(port)
    scene.remove()
    assert scene.retransmit() == effects.RESET
    assert scene.core.counters["flows_given_up"] == 1


def test_pending_flows_are_reset_without_another_packet():
    """Clients double the interval of their retransmissions up to 1.6 s."""
    scene = Scene()
    scene.retransmit(2)
    scene.remove()
    scene.step()
    (reset,) = scene.core.sweep(scene.now_ms + 20)
    assert reset.effects == effects.RESET
    assert reset.packet.client_port == 1
    assert reset.packet.ack == scene.flow.ack
    assert scene.core.sweep(scene.now_ms + 30) == []


def test_a_new_request_at_a_server_that_is_gone_is_reset_at_once():
    scene = Scene()
    other = builders.Flow(scene.core, client_port=50)
    other.token = scene.forward.token
    other.seq, other.ack = 2000, 9000
    other.request(scene.now_ms)
    for _ in range(2):
        scene.retransmit(1)
        other.retransmit(scene.now_ms + 30)
    scene.remove()
    scene.step()
    fresh = builders.Flow(scene.core, client_port=51)
    fresh.token = scene.forward.token
    assert fresh.request(scene.now_ms + 20) == effects.RESET


def test_a_listed_server_is_never_gone():
    """It may live behind a link that loses packets."""
    scene = Scene()
    assert scene.retransmit(6) == (scene.forward,)


def test_a_server_that_is_cut_off_from_the_store_only_is_not_gone():
    """Its entry lapses, but it answers its flows."""
    scene = Scene()
    scene.remove()
    scene.flow.acknowledge(scene.now_ms + 30)
    scene.step()
    scene.flow.request(scene.now_ms)
    assert scene.retransmit(6) == (scene.forward,)


def test_one_lost_packet_to_a_removed_server_is_no_proof():
    scene = Scene()
    scene.remove()
    assert scene.retransmit(1) == (scene.forward,)


def test_an_entry_that_lapsed_while_the_store_was_down_is_no_proof():
    """Servers that live register again after the store has returned."""
    scene = Scene()
    scene.core.record_store_failure()
    scene.remove()
    assert scene.retransmit(4) == (scene.forward,)
    scene.step()
    returned_ms = scene.now_ms
    assert scene.core.record_store_answer(returned_ms)
    while scene.now_ms + 220 < (
        returned_ms + directory.REGISTRATION_TIMEOUT_MS
    ):
        assert scene.retransmit(1) == (scene.forward,)
    assert scene.retransmit(2) == effects.RESET


def test_a_server_that_registered_again_is_not_gone():
    scene = Scene()
    scene.remove()
    entry = scene.server.entry
    scene.core.directory.put(
        scene.now_ms,
        builders.server_entry(entry.ident, revision=950, born_ms=2),
    )
    assert builders.forwards(scene.retransmit(6))


def test_losses_at_other_servers_point_to_a_full_link():
    scene = Scene()
    scene.remove()
    lossy = builders.Flow(scene.core, client_port=70)
    while lossy.open(scene.now_ms).ident in (
        scene.forward.ident,
        scene.healthy.token,
    ):
        lossy = builders.Flow(scene.core, client_port=lossy.client_port + 1)
    lossy.request(scene.now_ms)
    for _ in range(5):
        scene.step()
        lossy.retransmit(scene.now_ms + 15)
        assert scene.flow.retransmit(scene.now_ms + 20) == (scene.forward,)


def test_a_process_without_any_answer_gives_up_no_flow():
    """The machine may be cut off, or the process may just have started."""
    scene = Scene()
    scene.remove()
    scene.step(healthy=False)
    scene.now_ms += 1000
    assert scene.retransmit(6, healthy=False) == (scene.forward,)


def test_a_start_from_a_stale_read_gives_up_no_flow():
    """A server that the read does not list yet is unknown, not gone."""
    scene = Scene()
    core = builders.make_core(*SERVERS[:3])
    core.directory.replace(0, builders.at(50), SERVERS[:3])
    flow = builders.Flow(core, client_port=1)
    flow.token = SERVERS[6].ident
    flow.request(scene.now_ms)
    for step in range(1, 6):
        out = flow.retransmit(scene.now_ms + 200 * step)
        assert out == effects.DROP
