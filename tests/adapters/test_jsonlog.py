import json
import os

from cyclamenridge.adapters import jsonlog
from cyclamenridge.flow import packet as packet_lib
from cyclamenridge.flow import server_stats as stats_lib
from tests.flow import builders

PACKET = packet_lib.Packet(1, 2, 3, 4, 1, 5, 0, 0, 0)


def make_log():
    reader, writer = os.pipe()
    return reader, jsonlog.JsonLog(writer, node="n")


def read_bytes(reader):
    os.set_blocking(reader, False)
    data = b""
    while True:
        try:
            part = os.read(reader, 1 << 20)
        except BlockingIOError:
            return data
        if not part:
            return data
        data += part


def read_lines(reader):
    return [json.loads(line) for line in read_bytes(reader).splitlines()]


def test_opening_line_contains_the_basis_of_the_selection():
    reader, log = make_log()
    server = builders.make_core(builders.server_entry(1)).directory.get(
        "i-00000001"
    )
    stats = stats_lib.ServerStats()
    stats.pending = 2
    log.flow_opening(100, PACKET, server, stats, 7)
    log.flush()
    (line,) = read_lines(reader)
    assert line["event"] == "flow_opening"
    assert line["flow"] == "0.0.0.1:2>0.0.0.3:4"
    assert (line["server"], line["waiting"], line["config"]) == (
        "i-00000001",
        2,
        7,
    )
    assert line["server_revision"] == 11


def test_lines_are_rate_limited_per_event_and_counted():
    """Guards against logging that starves packet processing of CPU time."""
    reader, log = make_log()
    for number in range(5000):
        log.flow_event(10_000 + number // 10, "no_route", PACKET, config=1)
    log.server_event(10_500, "server_silent", "i-1")
    log.flow_event(11_000, "no_route", PACKET, config=1)
    log.flush()
    lines = read_lines(reader)
    assert len(lines) == jsonlog.MAX_LINES_PER_SECOND + 3
    left_out = [line for line in lines if line["event"] == "lines_left_out"]
    assert left_out[0]["counts"] == {
        "no_route": 5000 - jsonlog.MAX_LINES_PER_SECOND
    }


def test_stopped_reader_neither_blocks_nor_exhausts_memory():
    reader, log = make_log()
    for second in range(5000):
        for number in range(jsonlog.MAX_LINES_PER_SECOND):
            log.flow_event(second * 1000, "no_route", PACKET, config=number)
        log.flush()
    assert log.lines_left_out > 0
    assert len(log._buffer) < 2 * jsonlog.MAX_BUFFER_BYTES
    data = b""
    while log._buffer:
        data += read_bytes(reader)
        log.flush()
    data += read_bytes(reader)
    assert all(json.loads(line) for line in data.splitlines())


def test_closed_reader_is_not_an_error():
    reader, log = make_log()
    os.close(reader)
    log.process_event("started")
    log.flush()


def test_control_characters_are_escaped():
    reader, log = make_log()
    log.process_event(
        "entry_refused", key='a\n{"event":"x"}\x00', error="\r\n"
    )
    log.flush()
    (line,) = read_lines(reader)
    assert line["event"] == "entry_refused"


def test_partial_writes_do_not_corrupt_lines():
    reader, log = make_log()
    count = 30 * jsonlog.MAX_LINES_PER_SECOND
    for second in range(30):
        for number in range(jsonlog.MAX_LINES_PER_SECOND):
            log.flow_event(second * 1000, "no_route", PACKET, config=number)
    data = b""
    while log._buffer:
        log.flush()
        data += os.read(reader, 1 << 20)
    assert len([json.loads(line) for line in data.splitlines()]) == count
