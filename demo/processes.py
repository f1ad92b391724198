"""Child processes of the demo and of the tests with real processes."""

import os
import pathlib
import signal
import socket
import subprocess
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
_POLL_S = 0.02


def environment() -> dict[str, str]:
    """Return an environment in which processes import from this checkout."""
    env = dict(os.environ)
    env["PYTHONPATH"] = f"{ROOT / 'src'}{os.pathsep}{ROOT}"
    env["PYTHONUNBUFFERED"] = "1"
    return env


class Processes:
    """Starts named processes and stops only these, by their process ids.

    :param log_dir: directory of the files with the output of the processes
    """

    def __init__(self, log_dir: pathlib.Path) -> None:
        self.log_dir = log_dir
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._log_offsets: dict[str, int] = {}

    def start(self, name: str, module: str, *arguments: str) -> int:
        """Start ``python -m module`` and return its process id."""
        path = self.log_dir / f"{name}.log"
        if name not in self._processes:
            path.write_bytes(b"")
        # A restarted process appends to the file; output() skips what its
        # predecessor printed.
        self._log_offsets[name] = path.stat().st_size
        with path.open("ab") as log:
            process = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                cwd=ROOT,
                env=environment(),
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self._processes[name] = process
        return process.pid

    def pid(self, name: str) -> int:
        """Return the process id of the latest process of a name."""
        return self._processes[name].pid

    def output(self, name: str) -> str:
        """Return the output of the latest process of a name."""
        data = (self.log_dir / f"{name}.log").read_bytes()
        return data[self._log_offsets[name] :].decode(errors="replace")

    def signal(self, name: str, signum: signal.Signals) -> None:
        """Send a signal to a process that was started here."""
        self._processes[name].send_signal(signum)

    def running(self, name: str) -> bool:
        """Return whether a process has not exited."""
        return self._processes[name].poll() is None

    def wait(self, name: str, timeout_s: float) -> int:
        """Wait until a process has exited and return its exit code.

        :raises subprocess.TimeoutExpired: it still runs after the timeout
        """
        return self._processes[name].wait(timeout_s)

    def wait_for_text(self, name: str, text: str, timeout_s: float) -> None:
        """Wait until the output of a process contains a text.

        :raises RuntimeError: it has exited or the timeout has expired
        """
        deadline_s = time.monotonic() + timeout_s
        while time.monotonic() < deadline_s:
            if text in self.output(name):
                return
            if not self.running(name):
                break
            time.sleep(_POLL_S)
        raise RuntimeError(
            f"{name} did not print {text!r}: {self.output(name)[-500:]}"
        )

    def stop_all(self, timeout_s: float = 5.0) -> None:
        """Stop all running processes; send SIGKILL after the timeout."""
        running = [p for p in self._processes.values() if p.poll() is None]
        for process in running:
            # A process stopped by SIGSTOP handles SIGTERM only after SIGCONT.
            process.send_signal(signal.SIGCONT)
            process.terminate()
        deadline_s = time.monotonic() + timeout_s
        for process in running:
            try:
                process.wait(max(0.0, deadline_s - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()


def free_port(host: str) -> int:
    """Return a port that is currently free for both TCP and UDP."""
    for _ in range(50):
        with (
            socket.socket(socket.AF_INET, socket.SOCK_STREAM) as tcp,
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp,
        ):
            tcp.bind((host, 0))
            port = tcp.getsockname()[1]
            try:
                udp.bind((host, port))
            except OSError:
                continue
            return port
    raise RuntimeError(f"no free port on {host}")
