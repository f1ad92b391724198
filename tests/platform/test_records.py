import contextlib
import json
import os
import random

import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from cyclamenridge.adapters import jsonlog
import cyclamenridge.clock as clock_lib
import cyclamenridge.errors as errors
from cyclamenridge.flow import directory
from cyclamenridge.flow import peers as peers_lib
from cyclamenridge.flow import routes
import cyclamenridge.flow_reports as flow_reports
from cyclamenridge.platform import records
from tests.flow import builders

RECORDS = records.PlatformRecordDecoder()
SERVER = {
    "service": "huvo11a",
    "address": "10.128.0.9:8080",
    "zone": "qld-bne",
    "version": "v1",
    "slots": 2,
    "state": "ready",
    "warmup_left_ms": 0,
    "sequence": 4,
    "born": 1784603008023,
}
CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "host": "198.18.0.1",
            "prefix": "/8080/",
            "type": "unsafe",
            "timeout_ms": 3000,
            "target_latency_ms": 200,
            "priority": 1,
            "service": "huvo11a",
        },
        {
            "name": "r-2",
            "host": "198.18.0.1",
            "prefix": "/8443/",
            "type": "safe",
            "timeout_ms": 2500,
            "target_latency_ms": 150,
            "priority": 2,
            "weighted_targets": [
                {"service": "huvo11a", "weight": 90},
                {"service": "wuno96b", "weight": 10},
            ],
        },
    ],
    "services": [{"name": "huvo11a"}, {"name": "wuno96b"}],
    "limits": {"idle_timeout_ms": 15000},
}


def test_a_server_is_identified_by_the_hex_digits_of_its_name():
    server = RECORDS.decode_server(
        "servers/i-7f3a91c2", json.dumps(SERVER).encode(), 9
    )
    assert server.ident == 0x7F3A91C2
    assert server.state is directory.ServerState.READY
    assert server.revision == 9


@pytest.mark.parametrize(
    "change",
    [
        {"state": "resting"},
        {"state": None},
        {"address": "somewhere"},
        {"address": 5},
        {"slots": "2"},
        {"slots": 0},
        {"slots": True},
        {"service": ["x"]},
        {"warmup_left_ms": None},
        {"born": "yesterday"},
    ],
)
def test_an_entry_with_an_invalid_field_is_refused(change):
    value = json.dumps({**SERVER, **change}).encode()
    with pytest.raises(errors.StoreError):
        RECORDS.decode_server("servers/i-7f3a91c2", value, 1)


@pytest.mark.parametrize("field", ["service", "address", "slots", "state"])
def test_an_entry_with_a_missing_field_is_refused(field):
    value = dict(SERVER)
    del value[field]
    with pytest.raises(errors.StoreError):
        RECORDS.decode_server("servers/i-1", json.dumps(value).encode(), 1)


@pytest.mark.parametrize("key", ["servers/", "servers/xyz", "servers/i-0"])
def test_a_key_without_a_valid_identity_is_refused(key):
    with pytest.raises(errors.StoreError):
        RECORDS.decode_server(key, json.dumps(SERVER).encode(), 1)


@hypothesis.given(strategies.binary(max_size=60))
def test_any_bytes_are_refused_or_decoded(value):
    """An unreadable entry must not stop the process."""
    for read in (
        lambda: RECORDS.decode_server("servers/i-1", value, 1),
        lambda: RECORDS.decode_config(value),
    ):
        with contextlib.suppress(errors.StoreError, errors.ConfigError):
            read()


@pytest.mark.parametrize(
    "change",
    [
        {"services": [{"name": "a", "warmup_s": 1e308}]},
        {"notes": "NESTED"},
    ],
)
def test_extreme_values_of_a_configuration_are_refused(change):
    """Other exceptions than ConfigError end the task that reads the store."""
    value = json.dumps({**CONFIG, **change})
    value = value.replace('"NESTED"', "[" * 5000 + "]" * 5000)
    with pytest.raises(errors.ConfigError):
        RECORDS.decode_config(value.encode())


def test_an_entry_with_deeply_nested_values_is_refused():
    """Other exceptions than StoreError end the task that reads the store."""
    value = json.dumps({**SERVER, "notes": "NESTED"})
    value = value.replace('"NESTED"', "[" * 5000 + "]" * 5000)
    with pytest.raises(errors.StoreError):
        RECORDS.decode_server("servers/i-1", value.encode(), 1)


def test_a_configuration_is_decoded():
    table = RECORDS.decode_config(json.dumps(CONFIG).encode())
    assert table.version == 7
    assert table.idle_ms == 15000
    push = table.find(0xC6120001, 8080)
    feed = table.find(0xC6120001, 8443)
    assert not push.idempotent and feed.idempotent
    assert [target.weight for target in feed.targets] == [90, 10]
    assert table.find(0xC6120001, 1) is None


@pytest.mark.parametrize(
    "change",
    [
        {"host": "nowhere"},
        {"prefix": "/https/"},
        {"service": None},
        {"timeout_ms": "long"},
    ],
)
def test_an_invalid_configuration_is_refused_as_a_whole(change):
    value = {**CONFIG, "routes": [{**CONFIG["routes"][0], **change}]}
    with pytest.raises(errors.ConfigError):
        RECORDS.decode_config(json.dumps(value).encode())


@pytest.mark.parametrize(
    ("request_type", "idempotent"),
    [
        ("safe", True),
        ("download", True),
        ("unsafe", False),
        ("upload", False),
        ("stream", False),
    ],
)
def test_only_known_types_are_idempotent(request_type, idempotent):
    """Requests of an unknown type may not run twice."""
    config = json.loads(json.dumps(CONFIG))
    config["routes"][0]["type"] = request_type
    table = RECORDS.decode_config(json.dumps(config).encode())
    assert table.find(0xC6120001, 8080).idempotent is idempotent


def test_an_unknown_type_is_logged_once():
    """Configurations are read again and again."""
    lines = []
    decoder = records.PlatformRecordDecoder(
        log_event=lambda event, **fields: lines.append((event, fields))
    )
    config = json.loads(json.dumps(CONFIG))
    for request_type in ("stream", "stream", "batch", "download"):
        config["routes"][0]["type"] = request_type
        decoder.decode_config(json.dumps(config).encode())
    assert lines == [
        ("request_type_unknown", {"type": "stream"}),
        ("request_type_unknown", {"type": "batch"}),
    ]


def test_orders_name_a_failure_domain():
    assert RECORDS.is_evacuation("op/evacuate/qld-bne")
    assert RECORDS.evacuated_domain("op/evacuate/qld-bne") == "qld-bne"
    assert RECORDS.evacuated_domain("op/evacuate/") == ""
    assert not RECORDS.is_evacuation("op/config")
    assert not RECORDS.is_evacuation("servers/op/evacuate/x")


def test_the_warm_ups_of_services_are_decoded():
    services = [
        {"name": "a", "warmup_s": 2.5, "warmup_per_s": 0.5},
        {"name": "b", "warmup_s": 2, "warmup_per_s": 0},
        {"name": "c"},
    ]
    table = RECORDS.decode_config(
        json.dumps({**CONFIG, "services": services}).encode()
    )
    assert table.warmups == {
        "a": routes.Warmup(2500, 0.5),
        "b": routes.Warmup(2000, 0),
    }


DEV_NULL = os.open(os.devnull, os.O_WRONLY)

# JSON values that another writer may leave in any field.
ODD_VALUES = strategies.one_of(
    strategies.sampled_from(
        (
            "1e400",
            "1e308",
            "-1",
            "1" + "0" * 30,
            "-1" + "0" * 30,
            str(2**31),
            str(2**63),
            str(2**64),
            "0.0",
            "2.5",
            "null",
            "true",
            "[" * 5000 + "]" * 5000,
            '{"a":' * 3000 + "1" + "}" * 3000,
            '""',
            '"\\u0000"',
            '"\\ud800"',
            json.dumps("x" * 100_000),
            '"10.0.0.1:65536"',
            '"10.0.0.1:0"',
            '"10.0.0.1:-1"',
            '"10.0.0.1: 80"',
            '"10.0.0.1:\\u0668\\u0660"',
            '"10.0.0.1:' + "9" * 5000 + '"',
            '"255.255.255.255:80"',
            '"0.0.0.0:80"',
            '"localhost:80"',
        )
    ),
    strategies.integers().map(str),
    strategies.floats(allow_nan=False, allow_infinity=False).map(json.dumps),
    strategies.text(max_size=300).map(json.dumps),
)
ODD_KEYS = strategies.one_of(
    strategies.text(max_size=30).map("servers/".__add__),
    strategies.sampled_from(
        ("servers/i-7", "servers/" + "f" * 192, "servers/a/b", "servers/\n7")
    ),
)


def odd_document(fields, changes):
    """Return a JSON document with some fields replaced by raw JSON text."""
    items = {key: json.dumps(value) for key, value in fields.items()}
    items.update(changes)
    return (
        "{" + ",".join(f"{json.dumps(k)}:{v}" for k, v in items.items()) + "}"
    ).encode("utf-8", "surrogatepass")


def drive_through_product(core, peer):
    """Use what a core knows: flows, beacons, snapshots, pages."""
    for number in range(4):
        builders.Flow(core, client_port=number).syn(10)
    core.release(20)
    core.sweep(5000)
    sender, receiver = (
        peers_lib.Peers(
            item,
            name="node",
            failure_domain="bne",
            host=host,
            seeds=(),
            lag_tolerance_ms=1500,
            rng=random.Random(1),
        )
        for item, host in ((core, "10.0.0.1"), (peer, "10.0.0.2"))
    )
    receiver.handle_beacon(10, "10.0.0.1", sender.encode_beacon())
    assert receiver.apply_snapshot(10, sender.encode_snapshot())
    pages = flow_reports.MonitoringPages(
        peer,
        receiver,
        jsonlog.JsonLog(DEV_NULL, node="node"),
        clock_lib.ManualClock(20),
    )
    for target in ("/metrics", "/dump"):
        assert pages.page(target).status == 200


@hypothesis.settings(deadline=None, max_examples=300)
@hypothesis.given(
    key=ODD_KEYS,
    changes=strategies.dictionaries(
        strategies.sampled_from((*SERVER, "notes")), ODD_VALUES, max_size=3
    ),
)
@hypothesis.example(key="servers/i-7", changes={"slots": str(2**64)})
@hypothesis.example(key="servers/i-7", changes={"warmup_left_ms": "1e308"})
@hypothesis.example(key="servers/i-7", changes={"born": str(-(2**64))})
def test_an_odd_entry_is_refused_or_usable_everywhere(key, changes):
    """An odd number made all snapshots for peers fail."""
    try:
        entry = RECORDS.decode_server(key, odd_document(SERVER, changes), 9)
    except errors.StoreError:
        return
    config = RECORDS.decode_config(json.dumps(CONFIG).encode())
    core = builders.make_core(
        builders.server_entry(1), entry, config=builders.CONFIG
    )
    core.directory.put(
        0, msgspec.structs.replace(entry, service="counter", revision=10)
    )
    core.directory.advance(builders.at(20))
    peer = builders.make_core(config=config)
    drive_through_product(core, peer)
    assert peer.directory.get(entry.name).entry.address == entry.address


@hypothesis.settings(deadline=None, max_examples=300)
@hypothesis.given(
    changes=strategies.dictionaries(
        strategies.sampled_from((*CONFIG, "notes")), ODD_VALUES, max_size=2
    ),
    route_changes=strategies.dictionaries(
        strategies.sampled_from(tuple(CONFIG["routes"][0])),
        ODD_VALUES,
        max_size=3,
    ),
)
@hypothesis.example(changes={"version": str(2**64)}, route_changes={})
@hypothesis.example(changes={}, route_changes={"timeout_ms": str(2**64)})
def test_an_odd_configuration_is_refused_or_usable_everywhere(
    changes, route_changes
):
    """An odd version ended the task that sends beacons."""
    route = odd_document(CONFIG["routes"][0], route_changes)
    changes = {
        "routes": f"[{route.decode('utf-8', 'surrogatepass')}]",
        **changes,
    }
    try:
        config = RECORDS.decode_config(odd_document(CONFIG, changes))
    except errors.ConfigError:
        return
    core = builders.make_core(builders.server_entry(1), config=config)
    for item in config.routes.values():
        item.pick_service(random.Random(1))
    peer = builders.make_core(config=None)
    core.directory.advance(builders.at(20))
    drive_through_product(core, peer)
    assert peer.routes == config
