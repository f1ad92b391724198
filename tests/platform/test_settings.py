import json

import pytest

from cyclamenridge import address as address_lib
from cyclamenridge import errors
from cyclamenridge.platform import settings

TOML = """
node_name = "front-qld-bne-1"
ip = "10.1.0.10"
zone = "qld-bne"
internal_ports = [7720,7735]
seed_nodes = ["10.1.0.10:8166","10.2.0.40:8166"]
discovery = "platform"
heartbeat_ms = 1200
forwarding_mode = "echo"
some_new_field = { a = 1 }
[listen_addrs]
datagram_addr = "10.1.0.10:8172"
ready = "10.1.0.10:8167"
control = "10.1.0.10:8166"
[bounds]
drain_ms = 3000
grace_s = 6
config_apply_ms = 3000
recovery_s = 12
max_flow_s = 60
[platform]
address = "10.200.1.7:8169"
forwarding_mode = "kv"
"""


def load(tmp_path, text):
    path = tmp_path / "node.toml"
    path.write_text(text)
    return settings.load(str(path))


def test_the_platform_file_is_loaded_and_unknown_fields_ignored(tmp_path):
    loaded = load(tmp_path, TOML)
    assert loaded.packets == address_lib.Address("10.1.0.10", 8172)
    assert loaded.failure_domain == "qld-bne"
    assert loaded.stop_ms == 6000
    assert loaded.peer_ports == (7720, 7735)
    assert (loaded.warmup_overage, loaded.warmup_slack) == (1.5, 5)
    assert [seed.port for seed in loaded.seeds] == [8166, 8166]


def test_time_limits_of_the_installation_are_used(tmp_path):
    """Other installations set other limits, or omit some."""
    loaded = load(
        tmp_path,
        TOML.replace("config_apply_ms = 3000", "config_apply_ms = 900")
        .replace("max_flow_s = 60", "max_flow_s = 2.5\ncontact_ms = 1500")
        .replace(
            "grace_s = 6",
            "evacuation_ms = 1200\nwarmup_overage = 2\nwarmup_slack = 0",
        ),
    )
    assert (loaded.warmup_overage, loaded.warmup_slack) == (2, 0)
    assert loaded.change_ms == 900
    assert loaded.evacuation_ms == 1200
    assert load(tmp_path, TOML).evacuation_ms == 5000
    assert loaded.contact_ms == 1500
    assert loaded.longest_flow_ms == 2500
    assert loaded.stop_ms == 6000


def test_the_file_of_the_template_is_loaded(tmp_path):
    import tomllib

    text = json.dumps(
        {"metrics_port": 9999, "platform_fields": tomllib.loads(TOML)}
    )
    loaded = load(tmp_path, text)
    assert loaded.metrics_port == 9999
    assert loaded.name == "front-qld-bne-1"


def test_all_findings_are_reported_at_once(tmp_path):
    text = (
        TOML.replace('"10.1.0.10:8172"', '"nowhere"')
        .replace("grace_s = 6", "grace_s = -1\nwarmup_slack = -5")
        .replace('zone = "qld-bne"', "")
        .replace("[7720,7735]", "[9, 3]")
        .replace('"echo"', '"mirror"')
    )
    with pytest.raises(errors.ConfigError) as info:
        load(tmp_path, text)
    lines = str(info.value).splitlines()
    assert len(lines) == 6
    for field in (
        "listen_addrs.datagram_addr",
        "bounds.grace_s",
        "bounds.warmup_slack",
        "zone: expected a non-empty string, found nothing",
        "internal_ports",
        "forwarding_mode",
    ):
        assert any(field in line for line in lines), field


@pytest.mark.parametrize("text", ["= 5", "{", "[1]", "{}", "\x00"])
def test_a_file_that_cannot_be_read_is_a_settings_error(tmp_path, text):
    with pytest.raises(errors.ConfigError):
        load(tmp_path, text)


def test_a_missing_file_is_a_settings_error(tmp_path):
    with pytest.raises(errors.ConfigError):
        settings.load(str(tmp_path / "none.toml"))
