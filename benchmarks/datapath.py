"""Datagram rate of the balancer process against bare forwarders.

The load is a closed loop of WINDOW datagrams. It runs in this process,
which also plays the owner of the forwarded datagrams: it takes part in the
membership with a control plane of its own.
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
ROUND_S = 0.4
FEEDS = 16
ROUNDS = 3
SIZES = (64, 1024)
_WARM_UP_S = 0.1
_LOST_AFTER_S = 0.2
_TICK_S = 0.05
_JOIN_S = 10.0
_ANSWER_S = 0.03
_CORE_TIMEOUT_S = 120.0
_CONTROL = 1
_TICKS_PER_S = 100


class Owner:
    """A member of the fleet that counts what is forwarded to it."""

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
        """Number of members that this one knows."""
        return len(self._plane.members())

    def control(self, data: bytes, source: tuple[str, int]) -> None:
        """Take a control message."""
        out = self._plane.handle_datagram(_now_ms(), Address(*source), data)
        self._send(out.effects)

    def tick(self) -> None:
        """Tell the others that this member lives."""
        now_s = time.monotonic()
        if now_s - self._tick_s >= _TICK_S:
            self._tick_s = now_s
            self._send(self._plane.tick(_now_ms()).effects)

    def _send(self, out: tuple[effects.Effect, ...]) -> None:
        for effect in out:
            if isinstance(effect, effects.SendPeer):
                self.sock.sendto(effect.data, effect.dest.as_tuple())


class Load:
    """Keeps WINDOW datagrams on the way through a process."""

    def __init__(
        self,
        sender: socket.socket,
        receiver: socket.socket,
        target: Address,
        pid: int,
        owner: Owner | None = None,
    ) -> None:
        self._sender = sender
        self._receiver = receiver
        self._target = target.as_tuple()
        self._pid = pid
        self._owner = owner
        self.lost = 0

    def rate(self, messages: Sequence[bytes]) -> tuple[float, float]:
        """Return datagrams per second and the CPU share of the process."""
        self._drain()
        self._run(messages, _WARM_UP_S)
        cpu_s = _cpu_s(self._pid)
        count, elapsed_s = self._run(messages, ROUND_S)
        return count / elapsed_s, (_cpu_s(self._pid) - cpu_s) / elapsed_s

    def _run(
        self, messages: Sequence[bytes], seconds: float
    ) -> tuple[int, float]:
        owner = self._owner
        send, receive = self._sender.sendto, self._receiver.recvfrom
        total = len(messages)
        sent = 0
        for _ in range(WINDOW):
            send(messages[sent % total], self._target)
            sent += 1
        count = 0
        started = time.monotonic()
        end = started + seconds
        while (now := time.monotonic()) < end:
            if owner is not None:
                owner.tick()
            # The clock is read once for a batch.
            for _ in range(32):
                try:
                    data, source = receive(2048)
                except TimeoutError:
                    self.lost += WINDOW
                    for _ in range(WINDOW):
                        send(messages[sent % total], self._target)
                        sent += 1
                    continue
                if owner is not None and data[0] == _CONTROL:
                    owner.control(data, source)
                    continue
                count += 1
                send(messages[sent % total], self._target)
                sent += 1
        return count, now - started

    def _drain(self) -> None:
        time.sleep(0.02)
        self._receiver.setblocking(False)
        try:
            while True:
                data, source = self._receiver.recvfrom(2048)
                if self._owner is not None and data[0] == _CONTROL:
                    self._owner.control(data, source)
        except BlockingIOError:
            self._receiver.settimeout(_LOST_AFTER_S)


class Bench:
    """One run: a bare forwarder and a balancer side by side."""

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
        """Run and yield the records."""
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
        owner = Owner(dep, self._seed, balancer.peer.host)
        self._join(owner)
        bare = self._bare("bare")
        batch = self._bare("bare_batch", "--batch")
        forward = Load(self._caller, owner.sock, balancer.caller, pid, owner)
        held = Load(self._caller, self._caller, balancer.caller, pid)
        keepalives = self._keepalives(balancer)
        for size in SIZES:
            calls = self._calls(owner, size)
            rounds: dict[str, list[tuple[float, float]]] = {}
            for _ in range(ROUNDS):
                owner.tick()
                rounds.setdefault("bare", []).append(bare.rate(calls))
                rounds.setdefault("bare_batch", []).append(batch.rate(calls))
                rounds.setdefault("forward", []).append(forward.rate(calls))
                if size == SIZES[0]:
                    rounds.setdefault("keepalive", []).append(
                        held.rate(keepalives)
                    )
            yield from self._records(rounds, size)
        for name, load in (("bare", bare), ("forward", forward)):
            yield self._record(name, "lost", "datagrams", load.lost)

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
                share / rate * 1e6 for rate, share in values
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

    def _bare(self, name: str, *options: str) -> Load:
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
        processes.wait_for_text(name, "ready", _JOIN_S)
        return Load(self._caller, sink, address, pid)

    def _join(self, owner: Owner) -> None:
        """Take part in the gossip until the balancer knows this member."""
        balancer = self._dep.balancers[0]
        deadline_s = time.monotonic() + _JOIN_S
        while time.monotonic() < deadline_s:
            owner.tick()
            try:
                data, source = owner.sock.recvfrom(2048)
                owner.control(data, source)
            except TimeoutError:
                continue
            status = self._dep.status(balancer) or {}
            if status.get("members", 0) >= 2 and owner.members >= 2:
                return
        raise RuntimeError("the balancer did not accept the member")

    def _calls(self, owner: Owner, size: int) -> list[bytes]:
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

    def _keepalives(self, balancer: deployment_lib.Balancer) -> list[bytes]:
        """Open feeds and return a keepalive for each."""
        feeds = []
        # Another member may own a session, which then answers nothing.
        for nonce in range(1, 400):
            grant = self._ask(
                balancer,
                "open",
                caller.Open("counter", deployment_lib.CUSTOMERS[0], nonce),
                caller.Grant,
            )
            if grant is None:
                continue
            feed = self._ask(
                balancer,
                "subscribe",
                caller.Subscribe(grant.token, "door", nonce, 0),
                caller.FeedGrant,
            )
            if feed is not None:
                feeds.append(feed.token)
            if len(feeds) == FEEDS:
                break
        return [
            rpc.request(number, "keepalive", caller.Keepalive(token, 0))
            for number, token in enumerate(feeds, 1)
        ]

    def _ask(
        self,
        balancer: deployment_lib.Balancer,
        method: str,
        params: msgspec.Struct,
        result: type,
    ) -> msgspec.Struct | None:
        self._msgid += 1
        self._caller.settimeout(_ANSWER_S)
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
            self._caller.settimeout(_LOST_AFTER_S)
        if not isinstance(answer, rpc.Response) or answer.error is not None:
            return None
        return msgspec.msgpack.decode(answer.result, type=result)


def run(seeds: Sequence[int]) -> Iterator[Record]:
    """Measure rates for each seed, and the core once."""
    for seed in seeds:
        with tempfile.TemporaryDirectory(prefix="cyclamenridge-") as temp:
            yield from Bench(pathlib.Path(temp), seed).run()
    yield from _core(seeds[0])


def _core(seed: int) -> Iterator[Record]:
    done = subprocess.run(
        [sys.executable, "-m", "benchmarks.datapath_core", f"--seed={seed}"],
        cwd=processes_lib.ROOT,
        env=processes_lib.environment(),
        capture_output=True,
        timeout=_CORE_TIMEOUT_S,
        check=True,
    )
    units = {"_us": "us", "bytes_per_flow": "B"}
    for metric, value in msgspec.json.decode(done.stdout).items():
        unit = next(
            (unit for end, unit in units.items() if metric.endswith(end)), ""
        )
        yield Record(EXPERIMENT, "core", seed, metric, unit, value)


def _socket(host: str) -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 * 2**20)
    sock.bind((host, 0))
    sock.settimeout(_LOST_AFTER_S)
    return sock


def _cpu_s(pid: int) -> float:
    """Return the CPU time that a process has used."""
    text = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S


def _now_ms() -> int:
    return time.monotonic_ns() // 1_000_000
