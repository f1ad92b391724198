from benchmarks import control_fleet
from cyclamenridge.control import codec
from cyclamenridge.control import demand
from cyclamenridge.control import messages
from cyclamenridge.control import types
from cyclamenridge.scheduling import types as scheduling


def make_demand(slots=1.5, service="album", draining=()):
    kinds = (scheduling.KindDemand(f"{service}-edits", slots),)
    return scheduling.ServiceDemand(service, kinds, draining)


def test_demands_arrive_every_second_in_the_short_form():
    """Guards against late demands, which let the sender's shares decay, and
    against names that use up the budget of a node with many services.
    """
    fleet = control_fleet.Fleet(1)
    nodes = fleet.grow(3)
    fleet.introduce_all()
    demands = (make_demand(), make_demand(0.5, "intake", ("srv-9",)))
    targets = tuple(
        types.DemandTarget(item, ("bal-002", "bal-003")) for item in demands
    )
    nodes[0].plane.set_demands(0, targets)
    fleet.sent = []
    fleet.run(20_000)
    received_ms = [
        at for at, item in nodes[1].demands if item.demand == demands[0]
    ]
    assert len(received_ms) >= 19
    assert {item.demand for _, item in nodes[2].demands} == set(demands)
    decoder = codec.Codec(control_fleet.KEYS)
    bodies = [decoder.decode(data).body for _, _, _, data in fleet.sent]
    full = [body for body in bodies if isinstance(body, messages.Demands)]
    assert 2 * 2 <= len(full) <= 2 * 4


def test_restarted_peer_gets_the_names_again():
    """Guards against a peer that lost its name table and cannot resolve
    hashes after a restart.
    """
    fleet = control_fleet.Fleet(1)
    nodes = fleet.grow(3)
    fleet.introduce_all()
    targets = (types.DemandTarget(make_demand(), ("bal-002",)),)
    nodes[0].plane.set_demands(0, targets)
    fleet.run(8000)
    fleet.kill(nodes[1])
    fresh = fleet.add("bal-002", 2, incarnation=2)
    fleet.until(lambda: len(fresh.demands) > 0, 4000)
    assert fresh.plane.counters["demand_names_unknown"] <= 2


def test_names_of_one_hash_are_never_confused(monkeypatch):
    """Guards against a demand that is counted for another kind because the
    hashes of two names collide.
    """
    monkeypatch.setattr(demand.token, "name_hash", lambda name: len(name))
    names = demand.NameTable()
    names.learn(make_demand(service="album"))
    share = messages.Share(5, ((11, 2.0),), ())
    assert names.resolve(share) == make_demand(2.0, "album")
    names.learn(make_demand(service="proof"))
    assert names.resolve(share) is None


def test_many_demands_are_sent_in_several_datagrams():
    """Guards against demands that exceed the size of a datagram."""
    fleet = control_fleet.Fleet(1)
    nodes = fleet.grow(2)
    fleet.introduce_all()
    demands = {make_demand(1.0, f"service-{n:03}") for n in range(60)}
    targets = tuple(types.DemandTarget(item, ("bal-002",)) for item in demands)
    nodes[0].plane.set_demands(0, targets)
    fleet.run(8000)
    assert {item.demand for _, item in nodes[1].demands} == demands
    assert nodes[0].plane.counters["control_oversized"] == 0
