"""Experiment: datagram rate of a balancer process and of bare forwarders.

The load is a closed loop of WINDOW datagrams. This process generates it and
also acts as the owner of the forwarded datagrams: it is a member of the
fleet with its own control plane.
"""

from collections.abc import Iterator
from collections.abc import Sequence
import pathlib
import random
import socket
import statistics
import subprocess
import sys
import tempfile
import time

import msgspec

from benchmarks import record as record_lib
from cyclamenridge import address as address_lib
from cyclamenridge.control import plane as plane_lib
from cyclamenridge.node import effects
from cyclamenridge.routing import home_sets
from cyclamenridge.wire import caller
from cyclamenridge.wire import rpc
from cyclamenridge.wire import token as token_lib
from demo import deployment as deployment_lib
from demo import processes as processes_lib

Address = address_lib.Address
Record = record_lib.Record

EXPERIMENT = "datapath"
WINDOW = 64
ROUND_DURATION_S = 0.4
FEED_COUNT = 16
ROUNDS = 3
PAYLOAD_SIZES = (64, 1024)
_WARM_UP_S = 0.1
_RECEIVE_TIMEOUT_S = 0.2
_TICK_INTERVAL_S = 0.05
_JOIN_TIMEOUT_S = 10.0
_REPLY_TIMEOUT_S = 0.03
_CORE_TIMEOUT_S = 120.0
_CONTROL_TYPE = 1
_CLOCK_TICKS_PER_S = 100


class SessionOwner:
    """A fleet member that owns the session of the forwarded datagrams."""

    def __init__(
        self, dep: deployment_lib.Deployment, seed: int, host: str
    ) -> None:
        self.sock = _socket(host)
        self.address = Address(*self.sock.getsockname())
        self.incarnation = 1
        self._plane = plane_lib.ControlPlane(
            home_sets.Balancer(
                "bench", "qld-bne", self.address, self.incarnation
            ),
            keys=(dep.key,),
            seeds=(dep.balancers[0].peer,),
            rng=random.Random(seed),
        )
        self._tick_s = 0.0
        self._send(self._plane.start(_now_ms()).effects)

    @property
    def members(self) -> int:
        """Number of members that this member knows."""
        return len(self._plane.members())

    def handle_control(self, data: bytes, source: tuple[str, int]) -> None:
        """Handle a control message."""
        out = self._plane.handle_datagram(_now_ms(), Address(*source), data)
        self._send(out.effects)

    def tick(self) -> None:
        """Run the control plane, which keeps this member alive for others."""
        now_s = time.monotonic()
        if now_s - self._tick_s >= _TICK_INTERVAL_S:
            self._tick_s = now_s
            self._send(self._plane.tick(_now_ms()).effects)

    def _send(self, out: tuple[effects.Effect, ...]) -> None:
        for effect in out:
            if isinstance(effect, effects.SendPeer):
                self.sock.sendto(effect.data, effect.dest.as_tuple())


class ClosedLoopLoad:
    """Closed loop that keeps WINDOW datagrams in flight through a process."""

    def __init__(
        self,
        sender: socket.socket,
        receiver: socket.socket,
        target: Address,
        pid: int,
        owner: SessionOwner | None = None,
    ) -> None:
        self._sender = sender
        self._receiver = receiver
        self._target = target.as_tuple()
        self._pid = pid
        self._owner = owner
        self.lost_count = 0

    def measure_rate(self, messages: Sequence[bytes]) -> tuple[float, float]:
        """Return datagrams per second and the CPU share of the process."""
        self._discard_queued()
        self._send_for(messages, _WARM_UP_S)
        cpu_s = _cpu_s(self._pid)
        count, elapsed_s = self._send_for(messages, ROUND_DURATION_S)
        return count / elapsed_s, (_cpu_s(self._pid) - cpu_s) / elapsed_s

    def _send_for(
        self, messages: Sequence[bytes], duration_s: float
    ) -> tuple[int, float]:
        owner = self._owner
        send, receive = self._sender.sendto, self._receiver.recvfrom
        message_count = len(messages)
        sent = 0
        for _ in range(WINDOW):
            send(messages[sent % message_count], self._target)
            sent += 1
        count = 0
        start_s = time.monotonic()
        end_s = start_s + duration_s
        while (now_s := time.monotonic()) < end_s:
            if owner is not None:
                owner.tick()
            # The clock is read once per batch.
            for _ in range(32):
                try:
                    data, source = receive(2048)
                except TimeoutError:
                    self.lost_count += WINDOW
                    for _ in range(WINDOW):
                        send(messages[sent % message_count], self._target)
                        sent += 1
                    continue
                if owner is not None and data[0] == _CONTROL_TYPE:
                    owner.handle_control(data, source)
                    continue
                count += 1
                send(messages[sent % message_count], self._target)
                sent += 1
        return count, now_s - start_s

    def _discard_queued(self) -> None:
        time.sleep(0.02)
        self._receiver.setblocking(False)
        try:
            while True:
                data, source = self._receiver.recvfrom(2048)
                if self._owner is not None and data[0] == _CONTROL_TYPE:
                    self._owner.handle_control(data, source)
        except BlockingIOError:
            self._receiver.settimeout(_RECEIVE_TIMEOUT_S)


class Benchmark:
    """Measures bare forwarders and a balancer in alternating rounds."""

    def __init__(self, directory: pathlib.Path, seed: int) -> None:
        self._dep = deployment_lib.Deployment(
            directory,
            seed=seed,
            balancers=1,
            servers={"counter": 1},
            event_interval_ms=0,
        )
        self._seed = seed
        self._caller = _socket("127.0.0.1")
        self._msgid = 0

    def run(self) -> Iterator[Record]:
        """Run the measurement and stop all processes at the end."""
        try:
            yield from self._run()
        finally:
            self._dep.processes.stop_all()

    def _run(self) -> Iterator[Record]:
        dep = self._dep
        dep.start_platform()
        dep.start_servers()
        dep.start_balancers()
        dep.apply()
        dep.wait_serving()
        balancer = dep.balancers[0]
        pid = dep.processes.pid(balancer.name)
        owner = SessionOwner(dep, self._seed, balancer.peer.host)
        self._join(owner)
        bare_load = self._start_forwarder("bare")
        batch_load = self._start_forwarder("bare_batch", "--batch")
        forwarded_load = ClosedLoopLoad(
            self._caller, owner.sock, balancer.caller, pid, owner
        )
        keepalive_load = ClosedLoopLoad(
            self._caller, self._caller, balancer.caller, pid
        )
        keepalives = self._keepalive_messages(balancer)
        for size in PAYLOAD_SIZES:
            calls = self._call_messages(owner, size)
            rounds: dict[str, list[tuple[float, float]]] = {}
            for _ in range(ROUNDS):
                owner.tick()
                rounds.setdefault("bare", []).append(
                    bare_load.measure_rate(calls)
                )
                rounds.setdefault("bare_batch", []).append(
                    batch_load.measure_rate(calls)
                )
                rounds.setdefault("forward", []).append(
                    forwarded_load.measure_rate(calls)
                )
                if size == PAYLOAD_SIZES[0]:
                    rounds.setdefault("keepalive", []).append(
                        keepalive_load.measure_rate(keepalives)
                    )
            yield from self._records(rounds, size)
        for name, load in (("bare", bare_load), ("forward", forwarded_load)):
            yield self._record(name, "lost", "datagrams", load.lost_count)

    def _records(
        self, rounds: dict[str, list[tuple[float, float]]], size: int
    ) -> Iterator[Record]:
        rates = {
            name: statistics.median(rate for rate, _ in values)
            for name, values in rounds.items()
        }
        for name, values in rounds.items():
            suffix = f"_{size}b"
            yield self._record(name, f"rate{suffix}", "1/s", rates[name])
            cpu_us = statistics.median(
                cpu_share / rate * 1e6 for rate, cpu_share in values
            )
            yield self._record(name, f"cpu{suffix}", "us", cpu_us)
            for base in ("bare", "bare_batch"):
                if name not in ("bare", "bare_batch"):
                    ratio = rates[name] / rates[base]
                    metric = f"ratio_{base}{suffix}"
                    yield self._record(name, metric, "", ratio)

    def _record(
        self, policy: str, metric: str, unit: str, value: float
    ) -> Record:
        return Record(EXPERIMENT, policy, self._seed, metric, unit, value)

    def _start_forwarder(self, name: str, *options: str) -> ClosedLoopLoad:
        sink = _socket("127.0.0.1")
        host, port = sink.getsockname()
        address = Address("127.0.0.1", processes_lib.free_port("127.0.0.1"))
        processes = self._dep.processes
        pid = processes.start(
            name,
            "benchmarks.forwarder",
            f"--listen={address}",
            f"--dest={host}:{port}",
            *options,
        )
        processes.wait_for_text(name, "ready", _JOIN_TIMEOUT_S)
        return ClosedLoopLoad(self._caller, sink, address, pid)

    def _join(self, owner: SessionOwner) -> None:
        """Exchange gossip until the balancer knows this member."""
        balancer = self._dep.balancers[0]
        deadline_s = time.monotonic() + _JOIN_TIMEOUT_S
        while time.monotonic() < deadline_s:
            owner.tick()
            try:
                data, source = owner.sock.recvfrom(2048)
                owner.handle_control(data, source)
            except TimeoutError:
                continue
            status = self._dep.status(balancer) or {}
            if status.get("members", 0) >= 2 and owner.members >= 2:
                return
        raise RuntimeError("the balancer did not accept the owner as a member")

    def _call_messages(self, owner: SessionOwner, size: int) -> list[bytes]:
        token = self._dep.codec.encode(
            token_lib.Token(
                token_lib.TokenType.SESSION,
                token_lib.name_hash("counter"),
                owner.address,
                owner.incarnation,
                self._seed,
            )
        )
        payload = random.Random(self._seed).randbytes(size)
        check = caller.payload_check(payload)
        return [
            rpc.request(
                seq,
                "call",
                caller.Call(
                    token, seq, "setting", 1, 5000, 0, 1, check, payload
                ),
            )
            for seq in range(1, 257)
        ]

    def _keepalive_messages(
        self, balancer: deployment_lib.Balancer
    ) -> list[bytes]:
        """Open feeds and return one keepalive message for each."""
        feeds = []
        # Requests get no reply if the session belongs to another member.
        for nonce in range(1, 400):
            grant = self._request(
                balancer,
                "open",
                caller.Open("counter", deployment_lib.CUSTOMERS[0], nonce),
                caller.Grant,
            )
            if grant is None:
                continue
            feed = self._request(
                balancer,
                "subscribe",
                caller.Subscribe(grant.token, "door", nonce, 0),
                caller.FeedGrant,
            )
            if feed is not None:
                feeds.append(feed.token)
            if len(feeds) == FEED_COUNT:
                break
        return [
            rpc.request(number, "keepalive", caller.Keepalive(token, 0))
            for number, token in enumerate(feeds, 1)
        ]

    def _request(
        self,
        balancer: deployment_lib.Balancer,
        method: str,
        params: msgspec.Struct,
        result: type,
    ) -> msgspec.Struct | None:
        self._msgid += 1
        self._caller.settimeout(_REPLY_TIMEOUT_S)
        self._caller.sendto(
            rpc.request(self._msgid, method, params),
            balancer.caller.as_tuple(),
        )
        try:
            answer = rpc.decode(self._caller.recv(2048))
            while getattr(answer, "msgid", 0) != self._msgid:
                answer = rpc.decode(self._caller.recv(2048))
        except TimeoutError:
            return None
        finally:
            self._caller.settimeout(_RECEIVE_TIMEOUT_S)
        if not isinstance(answer, rpc.Response) or answer.error is not None:
            return None
        return msgspec.msgpack.decode(answer.result, type=result)


def run(seeds: Sequence[int]) -> Iterator[Record]:
    """Measure the rates for each seed, and the core with the first seed."""
    for seed in seeds:
        with tempfile.TemporaryDirectory(prefix="cyclamenridge-") as temp:
            yield from Benchmark(pathlib.Path(temp), seed).run()
    yield from _measure_core(seeds[0])


def _measure_core(seed: int) -> Iterator[Record]:
    completed = subprocess.run(
        [sys.executable, "-m", "benchmarks.datapath_core", f"--seed={seed}"],
        cwd=processes_lib.ROOT,
        env=processes_lib.environment(),
        capture_output=True,
        timeout=_CORE_TIMEOUT_S,
        check=True,
    )
    units = {"_us": "us", "bytes_per_flow": "B"}
    for metric, value in msgspec.json.decode(completed.stdout).items():
        unit = next(
            (unit for end, unit in units.items() if metric.endswith(end)), ""
        )
        yield Record(EXPERIMENT, "core", seed, metric, unit, value)


def _socket(host: str) -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 * 2**20)
    sock.bind((host, 0))
    sock.settimeout(_RECEIVE_TIMEOUT_S)
    return sock


def _cpu_s(pid: int) -> float:
    """Return the CPU time that a process has used, in seconds."""
    text = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _CLOCK_TICKS_PER_S


def _now_ms() -> int:
    return time.monotonic_ns() // 1_000_000
