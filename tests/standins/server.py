"""Backend server process: ``python -m tests.standins.server --help``.

SIGUSR1 starts a drain. SIGUSR2 writes the run record and continues. SIGTERM
and SIGINT write the run record and end the process with exit code 0.
"""

import asyncio
import itertools
import pathlib
import random
import signal
import sys
import time
from typing import Annotated

import msgspec
import typer

from cyclamenridge import address as address_lib
from cyclamenridge import clock as clock_lib
from cyclamenridge import errors
from cyclamenridge.wire import framing
from cyclamenridge.wire import rpc
from tests.standins import server_model

_READ_BYTES = 256 * 1024


class RunRecords(msgspec.Struct, frozen=True):
    """The run record of the process.

    Times are milliseconds of CLOCK_MONOTONIC.

    :param drained_ms: start of the drain, None without one
    :param ended_ms: time at which the record was taken
    :param flows: ids of the flows that the server still holds
    :param refusals: number of refused requests by error
    :param wrong_links: number of hellos that named another server
    """

    service: str
    server: str
    incarnation: int
    drained_ms: int | None
    ended_ms: int
    runs: list[server_model.RunRecord]
    flows: list[int]
    refusals: dict[str, int]
    wrong_links: int


class Server:
    """TCP server for a ``ServerModel``."""

    def __init__(
        self, model: server_model.ServerModel, clock: clock_lib.Clock
    ) -> None:
        self.model = model
        self.drained_ms: int | None = None
        self._clock = clock
        self._writers: dict[int, asyncio.StreamWriter] = {}
        self._conn_ids = itertools.count(1)
        self._timer: asyncio.TimerHandle | None = None
        self._server: asyncio.Server | None = None

    async def start(self, address: address_lib.Address) -> None:
        """Listen for connections from balancers."""
        self._server = await asyncio.start_server(
            self._handle_connection,
            address.host,
            address.port,
            limit=_READ_BYTES,
        )

    async def stop(self) -> None:
        """Abort all connections and interrupt all runs."""
        assert self._server is not None
        self._server.close()
        for writer in list(self._writers.values()):
            writer.transport.abort()
        self.model.crash(self._clock.now_ms())

    def drain(self) -> None:
        """Refuse new work and notify all balancers."""
        now_ms = self._clock.now_ms()
        self.drained_ms = self.drained_ms or now_ms
        self._send(self.model.drain(now_ms))

    def records(self) -> RunRecords:
        """Return the run record up to now."""
        return RunRecords(
            service=self.model.service,
            server=self.model.server,
            incarnation=self.model.incarnation,
            drained_ms=self.drained_ms,
            ended_ms=self._clock.now_ms(),
            runs=self.model.records,
            flows=sorted(self.model.flows),
            refusals=dict(self.model.refusals),
            wrong_links=self.model.wrong_links,
        )

    async def _handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        conn = next(self._conn_ids)
        self._writers[conn] = writer
        self.model.connected(self._clock.now_ms(), conn)
        decoder = framing.FrameDecoder()
        try:
            while data := await reader.read(_READ_BYTES):
                for frame in decoder.feed(data):
                    message = rpc.decode(frame)
                    now_ms = self._clock.now_ms()
                    self._send(self.model.message(now_ms, conn, message))
                self._schedule_tick()
        except (OSError, errors.WireError) as exc:
            print(f"connection {conn} ended: {exc}", file=sys.stderr)
        finally:
            del self._writers[conn]
            self.model.disconnected(self._clock.now_ms(), conn)
            writer.transport.abort()

    def _send(self, out: list[server_model.Outgoing]) -> None:
        for item in out:
            if writer := self._writers.get(item.conn):
                writer.write(framing.encode(item.data))

    def _schedule_tick(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        due_ms = self.model.next_due_ms()
        if due_ms is not None:
            delay_ms = max(0, due_ms - self._clock.now_ms())
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(delay_ms / 1000, self._tick)

    def _tick(self) -> None:
        self._send(self.model.tick(self._clock.now_ms()))
        self._schedule_tick()


async def _run_until_signal(
    server: Server, address: address_lib.Address, path: pathlib.Path | None
) -> None:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stopped.set)
    loop.add_signal_handler(signal.SIGINT, stopped.set)
    loop.add_signal_handler(signal.SIGUSR1, server.drain)
    loop.add_signal_handler(
        signal.SIGUSR2, lambda: _write_records(server.records(), path)
    )
    await server.start(address)
    print("ready", flush=True)
    await stopped.wait()
    await server.stop()


def _write_records(records: RunRecords, path: pathlib.Path | None) -> None:
    data = msgspec.json.encode(records)
    if path is None:
        print(data.decode(), flush=True)
        return
    # Readers must never see a partly written file.
    temporary_path = path.with_suffix(".part")
    temporary_path.write_bytes(data)
    temporary_path.replace(path)


def main(
    *,
    service: Annotated[str, typer.Option()],
    server: Annotated[str, typer.Option()],
    listen: Annotated[str, typer.Option(help="HOST:PORT")],
    work: Annotated[
        list[str] | None, typer.Option(help="KIND=MS, may be repeated")
    ] = None,
    default_ms: int = 20,
    slots: int = 2,
    connections: int = 2000,
    queue_limit: int = 0,
    cold_ms: int = 0,
    load_mode: server_model.LoadMode = server_model.LoadMode.REAL,
    fail_fast: bool = False,
    event_interval_ms: int = 0,
    seed: int = 1,
    incarnation: Annotated[int, typer.Option(help="0: Unix time in ms")] = 0,
    records: Annotated[
        pathlib.Path | None, typer.Option(help="File for the run record")
    ] = None,
) -> None:
    """Run a backend server until SIGTERM."""
    profile = server_model.Profile(
        slots=slots,
        connections=connections,
        default_ms=default_ms,
        work_ms={
            kind: int(ms)
            for kind, _, ms in (item.partition("=") for item in work or ())
        },
        queue_limit=queue_limit,
        warmup_ms=cold_ms,
        load_mode=load_mode,
        fail_fast=fail_fast,
        event_interval_ms=event_interval_ms,
    )
    clock = clock_lib.MonotonicClock()
    model = server_model.ServerModel(
        service,
        server,
        incarnation=incarnation or time.time_ns() // 1_000_000,
        profile=profile,
        rng=random.Random(f"{seed}/{service}/{server}"),
        started_ms=clock.now_ms(),
    )
    address = address_lib.Address.parse(listen)
    process = Server(model, clock)
    asyncio.run(_run_until_signal(process, address, records))
    _write_records(process.records(), records)


if __name__ == "__main__":
    typer.run(main)
