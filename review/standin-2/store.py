"""A stand-in of the platform's store, as PROTOCOL.md describes it. Run: store.py PORT

It keeps everything in memory and answers at once. The path /stand-in/put writes a key for the operator or a runner, and
/stand-in/remove removes one; /stand-in/silent lets the store be down for some seconds: it reads calls and does not answer.
"""

import asyncio
import bisect
import json
import sys
import time
from urllib.parse import parse_qs, urlsplit

import http1

MAX_PAGE_ITEMS = 500
MAX_PAGE_BYTES = 1_000_000


class Store:
    def __init__(self):
        self.revision = 1
        self.items = {}
        self.keys = []
        self.events = []
        self.event_revisions = []
        self.silent_until = 0.0
        self.leases = {}
        self.next_lease = 1
        self.changed = asyncio.Event()

    def add_event(self, key, text):
        self.events.append((key, text))
        self.event_revisions.append(self.revision)

    def put(self, key, value, lease):
        old = self.items.get(key)
        created = old["createRev"] if old else self.revision
        item = {"key": key, "value": value, "revision": self.revision, "createRev": created, "lease": lease}
        text = json.dumps(item).encode()
        if old is None:
            bisect.insort(self.keys, key)
        self.items[key] = {**item, "value": None, "text": text}
        self.add_event(key, text)

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            del self.keys[bisect.bisect_left(self.keys, key)]
            self.add_event(key, json.dumps({"key": key, "revision": self.revision, "deleted": True}).encode())

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def transact(self, txn):
        self.expire()
        expected = txn.get("expectRev", [])
        current = [self.items.get(it["key"]) for it in expected]
        if any((now["revision"] if now else 0) != it["revision"] for now, it in zip(current, expected)):
            found = b",".join(now["text"] for now in current if now)
            return 412, b'{"items":[' + found + b"]}"
        leases = [it.get("lease") or 0 for it in txn.get("writes", [])]
        if any(lease and lease not in self.leases for lease in leases):
            return 404, b"{}"
        self.revision += 1
        for it, lease in zip(txn.get("writes", []), leases):
            self.put(it["key"], it["value"], lease)
        for key in txn.get("remove", []):
            self.remove(key)
        self.notify()
        return 200, json.dumps({"revision": self.revision}).encode()

    def expire(self):
        now = time.monotonic()
        ended = [lease for lease, (until, _) in self.leases.items() if until < now]
        for lease in ended:
            self.end_lease(lease)

    def end_lease(self, lease):
        if self.leases.pop(lease, None) is None:
            return
        keys = [key for key, it in self.items.items() if it["lease"] == lease]
        if keys:
            self.revision += 1
            for key in keys:
                self.remove(key)
            self.notify()

    def range(self, prefix, after):
        at = bisect.bisect_left(self.keys, prefix)
        if after:
            at = max(at, bisect.bisect_right(self.keys, after))
        page, size, more = [], 0, False
        while at < len(self.keys) and self.keys[at].startswith(prefix):
            text = self.items[self.keys[at]]["text"]
            if page and (len(page) >= MAX_PAGE_ITEMS or size + len(text) > MAX_PAGE_BYTES):
                more = True
                break
            page.append(text)
            size += len(text)
            at += 1
        tail = f'],"hasMore":{"true" if more else "false"},"asOf":{self.revision}}}'.encode()
        return b'{"items":[' + b",".join(page) + tail

    def changes(self, prefix, after):
        """The events after a revision, of whole revisions, up to about 1 MB."""
        at = bisect.bisect_right(self.event_revisions, after)
        found, size, as_of = [], 0, self.revision
        while at < len(self.events):
            key, text = self.events[at]
            is_next = not found or self.event_revisions[at] != self.event_revisions[at - 1]
            if found and is_next and size + len(text) > MAX_PAGE_BYTES:
                as_of = self.event_revisions[at - 1]
                break
            if key.startswith(prefix):
                found.append(text)
                size += len(text)
            at += 1
        return found, as_of

    async def watch(self, prefix, after, wait_s):
        until = time.monotonic() + wait_s
        while True:
            changed = self.changed
            found, as_of = self.changes(prefix, after)
            left = until - time.monotonic()
            if found or left <= 0:
                return 200, b'{"events":[' + b",".join(found) + f'],"asOf":{as_of}}}'.encode()
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    async def answer(self, request):
        method, target, _ = request.first
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query, keep_blank_values=True).items()}
        path = parts.path.removeprefix("/eelgrassgap/")
        self.expire()
        if path == "kv-txn":
            return self.transact(json.loads(request.body))
        if path == "kv-range":
            return 200, self.range(query.get("pathPrefix", ""), query.get("after"))
        if path == "kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, b"{}"
            return 200, item["text"][:-1] + f',"asOf":{self.revision}}}'.encode()
        if path == "kv-watch":
            return await self.watch(query.get("pathPrefix", ""), int(query["after"]), int(query["waitMs"]) / 1000)
        if path == "kv-lease":
            ttl_ms = max(1000, json.loads(request.body)["ttlMs"])
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            self.leases[lease] = (time.monotonic() + ttl_ms / 1000, ttl_ms)
            return 200, json.dumps({"lease": lease, "ttlMs": ttl_ms}).encode()
        if path.startswith("kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, b"{}"
            ttl_ms = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl_ms / 1000, ttl_ms)
            return 200, json.dumps({"lease": lease, "ttlMs": ttl_ms}).encode()
        if path.startswith("kv-lease-end/"):
            self.end_lease(int(path.rsplit("/", 1)[1]))
            return 200, b"{}"
        if path == "/stand-in/put":
            self.revision += 1
            self.put(query["key"], request.body.decode(), 0)
            self.notify()
            return 200, json.dumps({"revision": self.revision}).encode()
        if path == "/stand-in/remove":
            self.revision += 1
            self.remove(query["key"])
            self.notify()
            return 200, b"{}"
        if path == "/stand-in/silent":
            self.silent_until = time.monotonic() + float(query["for_s"])
            return 200, b"{}"
        return 404, b"{}"


async def main():
    store = Store()

    async def handler(request, writer):
        if time.monotonic() < store.silent_until:
            # Nothing more comes on this connection, and nothing is done.
            await asyncio.sleep(60)
            return False
        status, body = await store.answer(request)
        if time.monotonic() < store.silent_until and "/stand-in/" not in request.first[1]:
            await asyncio.sleep(60)
            return False
        await http1.respond(writer, status, body, [("Content-Type", "application/json")])
        return True

    async def tick():
        while True:
            await asyncio.sleep(0.1)
            store.expire()

    server = await http1.serve("127.0.0.1", int(sys.argv[1]), handler)
    await asyncio.gather(server.serve_forever(), tick())


if __name__ == "__main__":
    asyncio.run(main())
