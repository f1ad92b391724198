import socket
import threading

import pytest
from typer import testing

import cyclamenridge.compose as compose
import cyclamenridge.run as run


def invoke(*arguments):
    return testing.CliRunner().invoke(run.app, list(arguments))


@pytest.mark.parametrize("command", ["status", "dump", "drain"])
def test_unreachable_balancer_gives_a_one_line_error(command):
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        port = sock.getsockname()[1]
    result = invoke(command, "--admin", f"127.0.0.1:{port}")
    assert result.exit_code == 1
    assert result.stderr == (
        f"cyclamenridge {command}: 127.0.0.1:{port}: Connection refused\n"
    )


def test_invalid_address_is_a_usage_error():
    result = invoke("status", "--admin", "nowhere")
    assert result.exit_code == 2
    assert len(result.stderr.splitlines()) == 1


def test_response_that_is_not_json_gives_a_one_line_error():
    """Guards against a traceback when another program has the port."""
    with socket.create_server(("127.0.0.1", 0)) as server:

        def serve():
            conn, _ = server.accept()
            conn.recv(1000)
            conn.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi")
            conn.close()

        thread = threading.Thread(target=serve)
        thread.start()
        port = server.getsockname()[1]
        result = invoke("status", "--admin", f"127.0.0.1:{port}", "--json")
        thread.join()
    assert result.exit_code == 1
    assert len(result.stderr.splitlines()) == 1


def test_invalid_settings_are_reported_without_a_traceback(tmp_path):
    path = tmp_path / "settings.yaml"
    path.write_text("name: b1\n")
    result = invoke("balancer", "--settings", str(path))
    assert result.exit_code == 2
    assert "cyclamenridge balancer: " in result.stderr
    assert "Traceback" not in result.stderr


def test_call_without_balancer_has_the_exit_code_of_not_run():
    """Guards against confusing a request that did not run with an unknown."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.1", 0))
        port = sock.getsockname()[1]
        result = invoke(
            "call",
            f"--balancer=127.0.0.1:{port}",
            "--service=album",
            "--customer=c",
            "--kind=edit",
            "--deadline-ms=200",
            "payload",
        )
    assert result.exit_code == 5
    assert result.stderr == "not_run: expired\n"


def test_incarnation_increases_and_fits_a_token():
    """Guards against a restart within 1 s that reuses the incarnation."""
    start_s = 1_796_000_000.0
    first = compose.incarnation(start_s)
    assert compose.incarnation(start_s + 0.2) > first
    year_2041_s = 2_240_000_000.0
    assert first < compose.incarnation(year_2041_s) < 2**32
