"""In-memory stand-in of the platform: the JSON gateway of etcd v3.

Run it with ``python -m tests.standins.platform --listen 127.0.0.1:2379``.
Faults are set as attributes or through a second HTTP listener for control.
The program prints the URLs of both listeners on one line.
"""

import argparse
import asyncio
import base64
import collections
import contextlib
import copy
import dataclasses
import json

from aiohttp import web

INSTANCE_PREFIX = "/platform/instances/"
MAX_VALUE_BYTES = 1_000_000
# The body of a request holds the value in base64.
_MAX_REQUEST_BYTES = 2_000_000
_COMPACTED_MESSAGE = "mvcc: required revision has been compacted"
_WRITE_PATHS = ("/v3/kv/txn", "/v3/lease/grant", "/v3/lease/revoke")


@dataclasses.dataclass
class Faults:
    """Injected faults; their names are the keys of ``/control/faults``.

    :param delay_ms: delay of each request, except for watches
    :param silent: requests are read and never answered
    :param lose_answers: number of next writes that take effect and whose
        connection is then aborted
    :param drop_writes: number of next writes whose connection is aborted
        before they take effect
    :param late_writes: number of next writes whose connection is aborted
        and that take effect ``late_ms`` later
    :param outage_follows: an outage begins with the next aborted write
    :param watch_lag_ms: delay of events on watches
    :param instance_lag_ms: delay of changes to the instance list
    """

    delay_ms: int = 0
    silent: bool = False
    lose_answers: int = 0
    drop_writes: int = 0
    late_writes: int = 0
    late_ms: int = 300
    outage_follows: bool = False
    watch_lag_ms: int = 0
    instance_lag_ms: int = 0


@dataclasses.dataclass
class Entry:
    """Value and metadata of a key, as in etcd's ``KeyValue``.

    :param lease: lease that deletes the key when it ends, 0 for none
    """

    value: bytes
    create_revision: int
    mod_revision: int
    version: int
    lease: int


@dataclasses.dataclass
class Change:
    """A write or a deletion in the log.

    :param entry: None for a deletion
    :param time_s: loop time of the change
    """

    revision: int
    key: bytes
    entry: Entry | None
    time_s: float


@dataclasses.dataclass
class State:
    """Contents of the store.

    :param log: changes after the last compaction, oldest first
    :param compacted: revision of the last compaction, 0 for none
    """

    revision: int = 1
    entries: dict[bytes, Entry] = dataclasses.field(default_factory=dict)
    log: list[Change] = dataclasses.field(default_factory=list)
    compacted: int = 0


class GatewayError(Exception):
    """A request that the gateway refuses.

    :param status: HTTP status
    :param code: gRPC status code
    """

    def __init__(self, status: int, code: int, message: str) -> None:
        super().__init__(message)
        self.status = status
        self.code = code


class Platform:
    """The gateway and its control listener, on a running event loop.

    :ivar calls: number of requests by path
    :ivar watches: number of open watches
    """

    def __init__(self, host: str = "127.0.0.1", port: int = 0) -> None:
        self.host = host
        self.port = port
        self.control_port = 0
        self.faults = Faults()
        self.state = State()
        self.calls: collections.Counter[str] = collections.Counter()
        self.watches = 0
        self._snapshot = State()
        self._leases: dict[int, tuple[int, asyncio.TimerHandle]] = {}
        self._next_lease = 7_000_000_000_000_000_001
        self._changed = asyncio.Event()
        self._transports: set[asyncio.Transport] = set()
        self._runner: web.AppRunner | None = None
        self._control_runner: web.AppRunner | None = None
        self._site: web.TCPSite | None = None
        self._timers: set[asyncio.TimerHandle] = set()

    @property
    def url(self) -> str:
        return f"http://{self.host}:{self.port}"

    @property
    def control_url(self) -> str:
        return f"http://{self.host}:{self.control_port}/control"

    async def start(self) -> None:
        app = web.Application(client_max_size=_MAX_REQUEST_BYTES)
        app.router.add_post("/v3/watch", self._watch)
        for path, handler in (
            ("/v3/kv/range", self._range),
            ("/v3/kv/txn", self._txn),
            ("/v3/lease/grant", self._grant),
            ("/v3/lease/keepalive", self._keepalive),
            ("/v3/lease/revoke", self._revoke),
        ):
            app.router.add_post(path, self._make_handler(path, handler))
        self._runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self._runner.setup()
        await self._listen()
        control = web.Application()
        control.router.add_post("/control/{action}", self._handle_control)
        control.router.add_get("/control/stats", self._handle_stats)
        self._control_runner = web.AppRunner(control, shutdown_timeout=0.1)
        await self._control_runner.setup()
        site = web.TCPSite(self._control_runner, self.host, 0)
        await site.start()
        self.control_port = self._control_runner.addresses[0][1]

    async def close(self) -> None:
        for timer in self._timers | {t for _, t in self._leases.values()}:
            timer.cancel()
        self._abort_connections()
        await self._runner.cleanup()
        await self._control_runner.cleanup()

    async def set_outage(self, active: bool) -> None:
        """Refuse connections, or accept them again on the same port."""
        if active and self._site is not None:
            await self._site.stop()
            self._site = None
            self._abort_connections()
        elif not active and self._site is None:
            await self._listen()

    def take_snapshot(self) -> None:
        """Copy the contents for ``restore_snapshot``."""
        self._snapshot = copy.deepcopy(self.state)

    def restore_snapshot(self) -> None:
        """Replace the contents by the last snapshot; abort all connections.

        The revision goes back, as after a restart from an older copy.
        """
        self.state = copy.deepcopy(self._snapshot)
        self._abort_connections()
        self._notify_watchers()

    async def reset(self) -> None:
        """Remove contents, faults, leases and writes that are delayed."""
        for timer in self._timers | {t for _, t in self._leases.values()}:
            timer.cancel()
        self._timers.clear()
        self._leases.clear()
        self.faults = Faults()
        await self.set_outage(False)
        self._snapshot = State()
        self.restore_snapshot()

    def compact(self) -> None:
        """Discard the history up to the current revision."""
        self.state.compacted = self.state.revision
        self.state.log.clear()

    def put(self, key: str, value: bytes | None, lease: int = 0) -> int:
        """Write or delete a key, as the platform itself does."""
        if value is not None or key.encode() in self.state.entries:
            self.state.revision += 1
            self._set_entry(key.encode(), value, lease)
            self._notify_watchers()
        return self.state.revision

    def _set_entry(
        self, raw_key: bytes, value: bytes | None, lease: int
    ) -> None:
        """Change an entry at the current revision and log the change."""
        state = self.state
        previous = state.entries.get(raw_key)
        entry = None
        if value is None:
            del state.entries[raw_key]
        else:
            entry = Entry(
                value,
                previous.create_revision if previous else state.revision,
                state.revision,
                previous.version + 1 if previous else 1,
                lease,
            )
            state.entries[raw_key] = entry
        now_s = asyncio.get_running_loop().time()
        state.log.append(Change(state.revision, raw_key, entry, now_s))

    def set_instance(self, name: str, value: bytes | None) -> None:
        """Change or delete an instance after ``instance_lag_ms``."""
        lag_ms = self.faults.instance_lag_ms
        self._call_later(
            lag_ms, lambda: self.put(INSTANCE_PREFIX + name, value)
        )

    def _call_later(self, delay_ms: int, callback: object) -> None:
        def run() -> None:
            self._timers.discard(timer)
            callback()

        loop = asyncio.get_running_loop()
        timer = loop.call_later(delay_ms / 1000, run)
        self._timers.add(timer)

    def _notify_watchers(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _listen(self) -> None:
        self._site = web.TCPSite(
            self._runner, self.host, self.port, reuse_address=True
        )
        await self._site.start()
        self.port = self._runner.addresses[0][1]

    def _abort_connections(self) -> None:
        for transport in self._transports:
            transport.abort()
        self._transports.clear()

    def _make_handler(self, path: str, operation: object) -> object:
        async def handle(request: web.Request) -> web.StreamResponse:
            self.calls[path] += 1
            self._transports.add(request.transport)
            try:
                return await self._respond(path, operation, request)
            finally:
                self._transports.discard(request.transport)

        return handle

    async def _respond(
        self, path: str, operation: object, request: web.Request
    ) -> web.StreamResponse:
        body = json.loads(await request.read())
        faults = self.faults
        if faults.silent:
            await asyncio.sleep(3600)
        if faults.delay_ms:
            await asyncio.sleep(faults.delay_ms / 1000)
        if path in _WRITE_PATHS and (faults.drop_writes or faults.late_writes):
            if faults.drop_writes:
                faults.drop_writes -= 1
            else:
                faults.late_writes -= 1
                self._call_later(faults.late_ms, lambda: operation(body))
            return await self._abort_request(request)
        try:
            response = operation(body)
        except GatewayError as exc:
            return web.json_response(
                {"error": str(exc), "message": str(exc), "code": exc.code},
                status=exc.status,
            )
        if path in _WRITE_PATHS and faults.lose_answers:
            faults.lose_answers -= 1
            return await self._abort_request(request)
        return web.json_response(response)

    async def _abort_request(self, request: web.Request) -> web.Response:
        request.transport.abort()
        if self.faults.outage_follows:
            self.faults.outage_follows = False
            await self.set_outage(True)
        return web.Response()

    def _header(self) -> dict[str, str]:
        return {
            "cluster_id": "1",
            "member_id": "1",
            "revision": str(self.state.revision),
            "raft_term": "2",
        }

    def _range(self, body: dict) -> dict:
        start = base64.b64decode(body["key"])
        end = base64.b64decode(body.get("range_end", ""))
        revision = int(body.get("revision", "0"))
        entries = self.state.entries
        if revision:
            entries = self._entries_at(revision)
        kvs = [
            _encode_kv(key, entry)
            for key, entry in sorted(entries.items())
            if _is_in_range(key, start, end)
        ]
        response = {"header": self._header()}
        if kvs:
            response |= {"kvs": kvs, "count": str(len(kvs))}
        return response

    def _entries_at(self, revision: int) -> dict[bytes, Entry]:
        if revision > self.state.revision:
            message = "mvcc: required revision is a future revision"
            raise GatewayError(400, 11, message)
        if revision < self.state.compacted:
            raise GatewayError(400, 11, _COMPACTED_MESSAGE)
        if revision == self.state.revision:
            return self.state.entries
        if self.state.compacted:
            raise GatewayError(400, 11, _COMPACTED_MESSAGE)
        entries = {}
        for change in self.state.log:
            if change.revision <= revision:
                entries[change.key] = change.entry
        return {k: entry for k, entry in entries.items() if entry}

    def _txn(self, body: dict) -> dict:
        succeeded = True
        for compare in body.get("compare", []):
            entry = self.state.entries.get(base64.b64decode(compare["key"]))
            succeeded = succeeded and _matches(entry, compare)
        requests = body.get("success" if succeeded else "failure", [])
        # As in etcd, a request that is refused leaves everything as it was,
        # and all writes of a transaction have one revision.
        puts = self._decode_puts(requests)
        if puts:
            self.state.revision += 1
        responses = []
        for request in requests:
            if "request_range" in request:
                response = self._range(request["request_range"])
                responses.append({"response_range": response})
                continue
            key = base64.b64decode(request["request_put"]["key"])
            self._set_entry(key, *puts[key])
            responses.append({"response_put": {"header": self._header()}})
        if puts:
            self._notify_watchers()
        response = {"header": self._header(), "responses": responses}
        return response | {"succeeded": True} if succeeded else response

    def _decode_puts(
        self, requests: list[dict]
    ) -> dict[bytes, tuple[bytes, int]]:
        """Return value and lease of each key that a transaction writes."""
        puts = {}
        for request in requests:
            if "request_put" not in request:
                continue
            put = request["request_put"]
            key = base64.b64decode(put["key"])
            value = base64.b64decode(put.get("value", ""))
            if key in puts:
                message = "etcdserver: duplicate key given in txn request"
                raise GatewayError(400, 3, message)
            if len(value) > MAX_VALUE_BYTES:
                raise GatewayError(400, 3, "etcdserver: request is too large")
            lease = int(put.get("lease", "0"))
            if lease and lease not in self._leases:
                message = "etcdserver: requested lease not found"
                raise GatewayError(404, 5, message)
            puts[key] = (value, lease)
        return puts

    def _grant(self, body: dict) -> dict:
        lease, ttl_s = self._next_lease, int(body["TTL"])
        self._next_lease += 1
        self._set_lease(lease, ttl_s)
        return {
            "header": self._header(),
            "ID": str(lease),
            "TTL": str(ttl_s),
        }

    def _set_lease(self, lease: int, ttl_s: int) -> None:
        if lease in self._leases:
            self._leases[lease][1].cancel()
        loop = asyncio.get_running_loop()
        timer = loop.call_later(ttl_s, self._end_lease, lease)
        self._leases[lease] = (ttl_s, timer)

    def _end_lease(self, lease: int) -> None:
        _, timer = self._leases.pop(lease)
        timer.cancel()
        for key, entry in list(self.state.entries.items()):
            if entry.lease == lease:
                self.put(key.decode(), None)

    def _keepalive(self, body: dict) -> dict:
        lease = int(body["ID"])
        result = {"header": self._header(), "ID": str(lease)}
        if lease in self._leases:
            ttl_s, _ = self._leases[lease]
            self._set_lease(lease, ttl_s)
            result["TTL"] = str(ttl_s)
        return {"result": result}

    def _revoke(self, body: dict) -> dict:
        lease = int(body["ID"])
        if lease not in self._leases:
            message = "etcdserver: requested lease not found"
            raise GatewayError(404, 5, message)
        self._end_lease(lease)
        return {"header": self._header()}

    async def _watch(self, request: web.Request) -> web.StreamResponse:
        self.calls["/v3/watch"] += 1
        self.watches += 1
        self._transports.add(request.transport)
        try:
            create = json.loads(await request.read())["create_request"]
            if self.faults.silent:
                await asyncio.sleep(3600)
            response = web.StreamResponse()
            await response.prepare(request)
            with contextlib.suppress(ConnectionError):
                await self._stream_events(response, create)
            return response
        finally:
            self.watches -= 1
            self._transports.discard(request.transport)

    async def _stream_events(
        self, response: web.StreamResponse, create: dict
    ) -> None:
        start = base64.b64decode(create["key"])
        end = base64.b64decode(create.get("range_end", ""))
        next_revision = int(create.get("start_revision", "0"))
        next_revision = next_revision or self.state.revision + 1
        await _send_result(
            response, {"header": self._header(), "created": True}
        )
        if next_revision <= self.state.compacted:
            result = {
                "header": self._header(),
                "canceled": True,
                "compact_revision": str(self.state.compacted + 1),
            }
            await _send_result(response, result)
            return
        loop = asyncio.get_running_loop()
        while True:
            changed = self._changed
            visible_until_s = loop.time() - self.faults.watch_lag_ms / 1000
            events = []
            first_revision = next_revision
            for change in self.state.log:
                # Changes of one transaction have the same revision.
                if change.revision < first_revision:
                    continue
                if change.time_s > visible_until_s:
                    break
                next_revision = change.revision + 1
                if _is_in_range(change.key, start, end):
                    events.append(_encode_event(change))
            if events:
                result = {"header": self._header(), "events": events}
                await _send_result(response, result)
            has_delayed_events = next_revision <= self.state.revision
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(
                    0.02 if has_delayed_events else None
                ):
                    await changed.wait()

    async def _handle_control(self, request: web.Request) -> web.Response:
        callback = request.match_info["action"]
        body = json.loads(await request.read() or b"{}")
        if callback == "faults":
            outage = body.pop("outage", None)
            self.faults = dataclasses.replace(self.faults, **body)
            if outage is not None:
                await self.set_outage(outage)
        elif callback == "instance":
            name, value = body["name"], body.get("value")
            data = None if value is None else json.dumps(value).encode()
            self.set_instance(name, data)
        elif callback == "reset":
            await self.reset()
        elif callback == "keep-copy":
            self.take_snapshot()
        elif callback == "restore-copy":
            self.restore_snapshot()
        else:
            raise web.HTTPNotFound
        return web.json_response({})

    async def _handle_stats(self, request: web.Request) -> web.Response:
        return web.json_response(
            {
                "calls": dict(self.calls),
                "watches": self.watches,
                "revision": self.state.revision,
            }
        )


def _is_in_range(key: bytes, start: bytes, end: bytes) -> bool:
    return start <= key < end if end else key == start


def _matches(entry: Entry | None, compare: dict) -> bool:
    if compare["target"] == "VALUE":
        value = base64.b64decode(compare["value"])
        return entry is not None and entry.value == value
    revision = entry.mod_revision if entry else 0
    return revision == int(compare["mod_revision"])


def _encode_kv(key: bytes, entry: Entry) -> dict[str, str]:
    kv = {
        "key": base64.b64encode(key).decode(),
        "create_revision": str(entry.create_revision),
        "mod_revision": str(entry.mod_revision),
        "version": str(entry.version),
    }
    if entry.value:
        kv["value"] = base64.b64encode(entry.value).decode()
    if entry.lease:
        kv["lease"] = str(entry.lease)
    return kv


def _encode_event(change: Change) -> dict:
    if change.entry is not None:
        return {"kv": _encode_kv(change.key, change.entry)}
    key = base64.b64encode(change.key).decode()
    kv = {"key": key, "mod_revision": str(change.revision)}
    return {"type": "DELETE", "kv": kv}


async def _send_result(response: web.StreamResponse, result: dict) -> None:
    await response.write(json.dumps({"result": result}).encode() + b"\n")


async def serve(host: str, port: int) -> None:
    platform = Platform(host, port)
    await platform.start()
    print(f"{platform.url} {platform.control_url}", flush=True)
    try:
        await asyncio.Event().wait()
    finally:
        await platform.close()


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--listen", default="127.0.0.1:2379")
    host, _, port = parser.parse_args().listen.rpartition(":")
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(serve(host, int(port)))


if __name__ == "__main__":
    main()
