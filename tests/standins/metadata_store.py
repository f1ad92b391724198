"""In-memory metadata store of the platform, served over HTTP.

Run it with ``python -m tests.standins.metadata_store PORT``. Faults are
set as attributes or through ``PUT /fault/NAME`` with the attribute's name
and a JSON value. ``PUT /set/KEY`` and ``DELETE /set/KEY`` write keys in
place of the operator and the backend servers.
"""

import asyncio
import base64
import copy
import itertools
import sys

from aiohttp import web


class MetadataStore:
    """Keys with revisions, watches, leases and conditional writes.

    :ivar silent: requests are read and never answered
    :ivar busy: HTTP status that every request is refused with, 0 for none
    :ivar lose: number of next writes that are applied but not answered
    :ivar after_page: called after each page of a range is read
    :ivar stale: items and revision that stale reads return; None for the
        current ones
    :ivar history: all events, oldest first
    :ivar compacted: revision below which watches are refused with 410
    :ivar era: rises with each restore of a copy
    :ivar written: last value of each key that was not removed, whatever the
        store has lost
    :ivar calls: method and path of each request
    """

    def __init__(self, page_size=500):
        self.revision = 1
        self.items = {}
        self.history = []
        self.compacted = 0
        self.era = 1
        self.written = {}
        self.leases = {}
        self.silent = False
        self.busy = 0
        self.lose = 0
        self.stale = None
        self.calls = []
        self.after_page = None
        self._page_size = page_size
        self._changed = asyncio.Event()
        self._lease_ids = itertools.count(100)
        self._runner = None

    async def start(self, port=0):
        app = web.Application()
        for method, path, handler in (
            ("GET", "/kv-key", self._get),
            ("GET", "/kv-range", self._range),
            ("GET", "/kv-watch", self._watch),
            ("POST", "/kv-txn", self._txn),
            ("POST", "/kv-lease", self._lease),
            ("POST", "/kv-keep/{id}", self._keepalive),
            ("DELETE", "/kv-lease-end/{id}", self._lease_end),
        ):
            app.router.add_route(method, path, self._with_faults(handler))
        app.router.add_put("/fault/{name}", self._set_fault)
        app.router.add_put("/set/{key:.*}", self._set_key)
        app.router.add_delete("/set/{key:.*}", self._set_key)
        self._runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", port).start()
        return self._runner.addresses[0][1]

    async def stop(self):
        await self._runner.cleanup()

    def put(self, key, value, lease=0):
        self.written[key] = value
        self.revision += 1
        created = self.items.get(key, {}).get("created", self.revision)
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created": created,
            "lease": lease,
        }
        self.items[key] = item
        self._append_event(item)
        return self.revision

    def remove(self, key):
        self.written.pop(key, None)
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._append_event(
                {"key": key, "revision": self.revision, "deleted": True}
            )

    def compact(self):
        self.compacted = self.revision

    def take_copy(self):
        """Return the state that ``restore`` brings back."""
        return copy.deepcopy((self.revision, self.items, self.leases))

    def restore(self, state):
        """Replace everything by a copy; cut the watches."""
        self.revision, self.items, self.leases = copy.deepcopy(state)
        self.history = []
        self.compacted = self.revision
        self.era += 1
        self._changed.set()
        self._changed = asyncio.Event()

    def write_again(self, key):
        """Write, or remove, a key as it was before a restore."""
        value = self.written.get(key)
        if value is None:
            self.remove(key)
        elif key not in self.items or (
            base64.b64decode(self.items[key]["value"]) != value
        ):
            self.put(key, value)

    def _append_event(self, event):
        self.history.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    def _with_faults(self, handler):
        async def handle(request):
            self.calls.append(f"{request.method} {request.path_qs}")
            if self.silent:
                await asyncio.sleep(3600)
            if self.busy:
                return web.Response(status=self.busy)
            response = await handler(request)
            response.headers["Store-Era"] = str(self.era)
            if self.lose and request.method == "POST":
                self.lose -= 1
                request.transport.abort()
            return response

        return handle

    async def _get(self, request):
        item = self.items.get(request.query["key"])
        if item is None:
            return web.json_response(
                {"store_revision": self.revision}, status=404
            )
        return web.json_response({**item, "store_revision": self.revision})

    async def _range(self, request):
        items, revision = self.items, self.revision
        if self.stale is not None and request.query.get("stale_ok") == "1":
            items, revision = self.stale
        after = request.query.get("after", "")
        matches = [
            items[key]
            for key in sorted(items)
            if key.startswith(request.query["prefix"]) and key > after
        ]
        if self.after_page is not None:
            self.after_page()
        return web.json_response(
            {
                "items": matches[: self._page_size],
                "has_more": len(matches) > self._page_size,
                "store_revision": revision,
            }
        )

    async def _watch(self, request):
        after = int(request.query["after"])
        deadline_s = (
            asyncio.get_running_loop().time()
            + int(request.query["wait_ms"]) / 1000
        )
        if not self.compacted <= after <= self.revision:
            return web.Response(status=410)
        era = self.era
        while True:
            if self.era != era:
                # The watch is cut.
                return web.Response(status=503)
            changed = self._changed
            events = [
                event
                for event in self.history
                if event["revision"] > after
                and event["key"].startswith(request.query["prefix"])
            ]
            remaining_s = deadline_s - asyncio.get_running_loop().time()
            if events or remaining_s <= 0:
                return web.json_response(
                    {"events": events, "store_revision": self.revision}
                )
            try:
                await asyncio.wait_for(changed.wait(), remaining_s)
            except TimeoutError:
                continue

    async def _txn(self, request):
        body = await request.json()
        for row in body["expected_rev"]:
            item = self.items.get(row["key"])
            if row["revision"] != (item["revision"] if item else 0):
                current = [
                    self.items[row["key"]]
                    for row in body["expected_rev"]
                    if row["key"] in self.items
                ]
                return web.json_response({"items": current}, status=412)
        for put in body["puts"]:
            lease = put.get("lease", 0)
            if lease and lease not in self.leases:
                return web.Response(status=404)
            self.put(put["key"], base64.b64decode(put["value"]), lease)
        for key in body["remove"]:
            self.remove(key)
        return web.json_response({"revision": self.revision})

    async def _lease(self, request):
        ttl_ms = (await request.json())["ttl_ms"]
        lease_id = next(self._lease_ids)
        self.leases[lease_id] = ttl_ms
        return web.json_response({"lease": lease_id, "ttl_ms": ttl_ms})

    async def _keepalive(self, request):
        ttl_ms = self.leases.get(int(request.match_info["id"]))
        if ttl_ms is None:
            return web.Response(status=404)
        return web.json_response({"ttl_ms": ttl_ms})

    async def _lease_end(self, request):
        lease_id = int(request.match_info["id"])
        if self.leases.pop(lease_id, None) is None:
            return web.Response(status=404)
        for key in [
            k for k, i in self.items.items() if i["lease"] == lease_id
        ]:
            self.remove(key)
        return web.json_response({})

    async def _set_fault(self, request):
        name = request.match_info["name"]
        setattr(self, name, type(getattr(self, name))(await request.json()))
        return web.Response()

    async def _set_key(self, request):
        key = request.match_info["key"]
        if request.method == "DELETE":
            self.remove(key)
        else:
            self.put(key, await request.read())
        return web.Response()


async def _serve(port):
    await MetadataStore().start(port)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(_serve(int(sys.argv[1])))
