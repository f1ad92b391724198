import hypothesis
from hypothesis import strategies
import pytest

from cyclamenridge import address
from cyclamenridge.config import findings
from cyclamenridge.config import settings
import cyclamenridge.errors as errors
from tests.config import test_loader

KEY = "0123456789abcdef" * 2
VALID = f"""\
name: balancer-1
failure_domain: qld-bne
caller_address: 127.0.1.1:7001
peer_address: 127.0.1.1:7002
admin_address: 127.0.1.1:7003
store: ["http://127.0.0.1:2379"]
seeds: [127.0.2.1:7002]
keys: [{KEY}]
"""


def read_findings(text):
    """Return the line, key and allowed values of each finding."""
    with pytest.raises(findings.InvalidConfigError) as caught:
        settings.parse(text)
    return [(f.line, f.key, f.allowed) for f in caught.value.findings]


def test_settings_are_read_with_their_defaults():
    """Guards against a lost value and against keys shown by repr()."""
    read = settings.parse(VALID)
    assert read.peer_address == address.Address("127.0.1.1", 7002)
    assert read.seeds == (address.Address("127.0.2.1", 7002),)
    assert read.keys == (bytes.fromhex(KEY),)
    assert read.store == ("http://127.0.0.1:2379",)
    assert read.stop_deadline_ms == 30_000
    assert KEY[:8] not in repr(read) and "#Eg" not in repr(read)


def test_keys_may_be_in_a_file_beside_the_settings(tmp_path):
    """Guards against an unreadable or invalid key file that is accepted."""
    (tmp_path / "keys").write_text(f"{KEY}\n{KEY[::-1]}\n")
    path = tmp_path / "settings.yaml"
    path.write_text(VALID.replace(f"keys: [{KEY}]", "key_file: keys"))
    read = settings.load(path)
    assert read.keys == (bytes.fromhex(KEY), bytes.fromhex(KEY[::-1]))
    (tmp_path / "keys").write_text(f"{KEY}\nabcd\n")
    with pytest.raises(findings.InvalidConfigError, match="4 characters"):
        settings.load(path)
    (tmp_path / "keys").unlink()
    with pytest.raises(findings.InvalidConfigError, match="cannot be read"):
        settings.load(path)
    with pytest.raises(findings.InvalidConfigError, match="cannot be read"):
        settings.load(tmp_path / "none.yaml")


def test_a_key_file_has_one_key_per_line(tmp_path):
    """Guards against two keys of one line that are read as one, and against
    a key that is read as several since it has white space in it.
    """
    path = tmp_path / "settings.yaml"
    path.write_text(VALID.replace(f"keys: [{KEY}]", "key_file: keys"))
    (tmp_path / "keys").write_text(f"\n  {KEY}\t\r\n\n{KEY[::-1]}")
    read = settings.load(path)
    assert read.keys == (bytes.fromhex(KEY), bytes.fromhex(KEY[::-1]))
    half = KEY[:32]
    for line in (f"{KEY} {KEY[::-1]}", f"{half} {half}", f"{half}\t{half}"):
        (tmp_path / "keys").write_text(f"{KEY}\n{line}\n")
        with pytest.raises(findings.InvalidConfigError) as raised:
            settings.load(path)
        assert "key_file.1" in str(raised.value)
        assert "one key per line" in str(raised.value)
        assert half not in str(raised.value)


@pytest.mark.parametrize(
    ("old", "new", "line", "key", "allowed"),
    [
        ("balancer-1", "Balancer 1", 1, "name", "a name"),
        ("127.0.1.1:7002", "0.0.0.0:7002", 4, "peer_address", "reach"),
        ("127.0.1.1:7002", "127.0.1.1:7001", 4, "peer_address", "once"),
        ("127.0.1.1:7003", "host:7003", 5, "admin_address", "IPv4"),
        ("admin_address", "admin", 5, "admin", "name, failure_domain"),
        ("http://", "ftp://", 6, "store.0", "URL"),
        ('["http://127.0.0.1:2379"]', "[]", 6, "store", "at least one"),
        ("127.0.2.1:7002]", "127.0.2.1]", 7, "seeds.0", "IPv4"),
        (f"[{KEY}]", "[]", 8, "keys", "at least one key"),
        (KEY, KEY[:30], 8, "keys.0", "16 to 64 bytes"),
        (KEY, KEY * 5, 8, "keys.0", "16 to 64 bytes"),
        (KEY, "x" + KEY[1:], 8, "keys.0", "16 to 64 bytes"),
        ("seeds:", "key_file: a\nseeds:", 1, "", "one of keys and key_file"),
        ("keys:", "stop_deadline_ms: -1\nkeys:", 8, "stop_deadline_ms", "0"),
        (f"keys: [{KEY}]\n", "", 1, "", "one of keys and key_file"),
    ],
)
def test_error_names_line_key_and_allowed_values(old, new, line, key, allowed):
    """Guards against invalid settings that pass or are reported unclearly."""
    assert old in VALID
    reported = read_findings(VALID.replace(old, new, 1))
    matching = [
        x for x in reported if x[:2] == (line, key) and allowed in x[2]
    ]
    assert len(matching) == 1, reported


@pytest.mark.parametrize(
    "value",
    [
        "[11111111111111111111111111111111]",
        "11111111111111111111111111111111",
        "[secret-0]",
        "secret-0",
        "[[secret-0]]",
        "{secret-0: 1}",
        "{secret-0: 1, secret-0: 2}",
        '["secret-0\\n"]',
        "[secret-0, secret-0]",
    ],
)
def test_errors_never_show_a_key(value):
    """Guards against secret keys in logs and on terminals."""
    with pytest.raises(findings.InvalidConfigError) as caught:
        settings.parse(VALID.replace(f"[{KEY}]", value))
    assert "secret-0" not in str(caught.value)
    assert "11111" not in str(caught.value)


@hypothesis.settings(derandomize=True, max_examples=100, deadline=None)
@hypothesis.given(strategies.data())
def test_damaged_settings_raise_only_config_errors(data):
    start = data.draw(strategies.integers(0, len(VALID) - 1))
    length = data.draw(strategies.integers(0, 30))
    inserted = data.draw(test_loader.DOCUMENTS)
    text = VALID[:start] + inserted + VALID[start + length :]
    try:
        assert settings.parse(text).keys
    except errors.ConfigError as exc:
        assert isinstance(exc, findings.InvalidConfigError)
