import contextlib
import json

import hypothesis
from hypothesis import strategies
import pytest

from cyclamenridge import errors
from cyclamenridge.flow import directory
from cyclamenridge.flow import routes
from cyclamenridge.platform import records

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
