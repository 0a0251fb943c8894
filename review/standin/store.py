"""A stand-in for the platform's store: keys, ranges, watches, transactions and leases, as PROTOCOL.md describes them."""

import asyncio
import base64
import itertools
import json
import time
from urllib.parse import parse_qs, unquote, urlsplit

import http1

# A page has about 500 items or 1 MB.
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000
PREFIX = "/eelgrassgap/"


class Store:
    """The store's state, in the memory of the harness."""

    def __init__(self):
        self.items, self.history, self.leases = {}, [], {}
        self.revision = 100
        self.lease_ids = itertools.count(7000)
        self.changed = asyncio.Event()
        self.port = None

    async def start(self):
        self.server, self.port = await http1.serve(self.handle)
        asyncio.get_running_loop().create_task(self.expire_leases())

    def put(self, key, value, lease=0):
        """Writes a key, as the operator or a runner does; a value that is no bytes is written as JSON."""
        if not isinstance(value, bytes):
            value = json.dumps(value).encode()
        self.commit([(key, value, lease)], [])

    def remove(self, key):
        self.commit([], [key])

    def commit(self, writes, removed):
        self.revision += 1
        for key, value, lease in writes:
            known = self.items.get(key)
            item = {"key": key, "value": base64.b64encode(value).decode(), "revision": self.revision}
            item |= {"createRev": known["createRev"] if known else self.revision, "lease": lease}
            self.items[key] = item
            self.history.append(item)
        for key in removed:
            if self.items.pop(key, None):
                self.history.append({"key": key, "revision": self.revision, "deleted": True})
        self.changed.set()
        self.changed = asyncio.Event()

    async def expire_leases(self):
        while True:
            await asyncio.sleep(0.05)
            for lease, (ends, _) in list(self.leases.items()):
                if time.monotonic() >= ends:
                    self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        keys = [key for key, item in self.items.items() if item["lease"] == lease]
        if keys:
            self.commit([], keys)

    async def handle(self, request, writer):
        url = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(url.query, keep_blank_values=True).items()}
        name, _, rest = unquote(url.path).removeprefix(PREFIX).partition("/")
        body = json.loads(request.body) if request.body else {}
        status, answer = await getattr(self, "on_" + name.replace("-", "_"))(query, rest, body)
        http1.respond(writer, status, answer)

    async def on_kv_key(self, query, _rest, _body):
        item = self.items.get(query["key"])
        return (200, item | {"asOf": self.revision}) if item else (404, {})

    async def on_kv_range(self, query, _rest, _body):
        after = query.get("after", "")
        keys = sorted(key for key in self.items if key.startswith(query["pathPrefix"]) and key > after)
        page, size = [], 0
        for key in keys:
            size += len(self.items[key]["value"])
            if page and (len(page) >= PAGE_ITEMS or size > PAGE_BYTES):
                break
            page.append(self.items[key])
        return 200, {"items": page, "hasMore": len(page) < len(keys), "asOf": self.revision}

    async def on_kv_watch(self, query, _rest, _body):
        ends = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            changed = self.changed
            seen = int(query["after"])
            events = [it for it in self.history if it["revision"] > seen and it["key"].startswith(query["pathPrefix"])]
            left = ends - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "asOf": self.revision}
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    async def on_kv_txn(self, _query, _rest, body):
        expected = body.get("expectRev", [])
        current = [self.items.get(row["key"]) for row in expected]
        if any((item["revision"] if item else 0) != row["revision"] for item, row in zip(current, expected)):
            return 412, {"items": [item for item in current if item]}
        writes = [(row["key"], base64.b64decode(row["value"]), row.get("lease", 0)) for row in body.get("writes", [])]
        if any(lease and lease not in self.leases for _, _, lease in writes):
            return 404, {}
        self.commit(writes, body.get("remove", []))
        return 200, {"revision": self.revision}

    async def on_kv_lease(self, _query, _rest, body):
        lease, ttl_ms = next(self.lease_ids), max(1000, body["ttlMs"])
        self.leases[lease] = (time.monotonic() + ttl_ms / 1000, ttl_ms)
        return 200, {"lease": lease, "ttlMs": ttl_ms}

    async def on_kv_keep(self, _query, rest, _body):
        if int(rest) not in self.leases:
            return 404, {}
        ttl_ms = self.leases[int(rest)][1]
        self.leases[int(rest)] = (time.monotonic() + ttl_ms / 1000, ttl_ms)
        return 200, {"ttlMs": ttl_ms}

    async def on_kv_lease_end(self, _query, rest, _body):
        known = int(rest) in self.leases
        self.end_lease(int(rest))
        return (200 if known else 404), {}
