#!/usr/bin/env python3
"""A stand-in for the platform's store: items, pages, watches, transactions and leases, over HTTP/1.1.

Usage: store.py PORT [LATENCY_MS]. Serves 127.0.0.1. The operator and the runners write through the same calls; keys under
op/ and servers/ are refused unless the call has the header `X-Platform: 1`, which the system does not send.
"""
import asyncio
import bisect
import collections
import json
import sys
import time
from urllib.parse import parse_qs, unquote, urlsplit

PAGE_ITEMS = 500
PAGE_BYTES = 1 << 20
VALUE_BYTES = 1 << 20
HISTORY_S = 20.0
MAX_ENTRIES = 32


class Store:
    def __init__(self):
        self.items = {}
        self.keys = []
        self.revision = 1
        self.history = collections.deque()
        self.dropped = 0
        self.leases = {}
        self.next_lease = 1
        self.changed = asyncio.Event()

    def put(self, key, value, lease):
        old = self.items.get(key)
        if old is None:
            bisect.insort(self.keys, key)
        elif old["lease"] in self.leases:
            self.leases[old["lease"]]["keys"].discard(key)
        created = self.revision if old is None else old["createRev"]
        item = {"key": key, "value": value, "revision": self.revision, "createRev": created, "lease": lease}
        self.items[key] = item
        if lease:
            self.leases[lease]["keys"].add(key)
        item["text"] = json.dumps({name: item[name] for name in ("key", "value", "revision", "createRev", "lease")}).encode()
        self.record(key, item["text"])

    def remove(self, key):
        item = self.items.pop(key, None)
        if item is None:
            return
        del self.keys[bisect.bisect_left(self.keys, key)]
        if item["lease"] in self.leases:
            self.leases[item["lease"]]["keys"].discard(key)
        text = json.dumps({"key": key, "revision": self.revision, "deleted": True}).encode()
        self.record(key, text)

    def record(self, key, text):
        self.history.append((self.revision, time.monotonic(), key, text))

    def notify(self):
        event, self.changed = self.changed, asyncio.Event()
        event.set()
        limit = time.monotonic() - HISTORY_S
        while self.history and self.history[0][1] < limit:
            self.dropped = self.history.popleft()[0]

    def expire(self):
        now = time.monotonic()
        ended = [lease for lease, it in self.leases.items() if it["until"] <= now]
        for lease in ended:
            self.end_lease(lease)

    def end_lease(self, lease):
        ended = self.leases.pop(lease, None)
        if ended is None:
            return False
        if ended["keys"]:
            self.revision += 1
            for key in sorted(ended["keys"]):
                self.remove(key)
            self.notify()
        return True

    def txn(self, body, is_platform):
        expected, writes, removed = body.get("expectRev", []), body.get("writes", []), body.get("remove", [])
        if len(expected) + len(writes) + len(removed) > MAX_ENTRIES:
            return 400, b'{"error":"too many entries"}'
        for key in [it["key"] for it in writes] + list(removed):
            if len(key.encode()) > 200:
                return 400, b'{"error":"key too long"}'
            if key.startswith(("op/", "servers/")) and not is_platform:
                return 403, b"{}"
        for it in writes:
            if len(it.get("value", "")) > (VALUE_BYTES + 2) // 3 * 4:
                return 413, b"{}"
            if it.get("lease", 0) and it["lease"] not in self.leases:
                return 404, b"{}"
        current = [(it["key"], self.items.get(it["key"])) for it in expected]
        if any((item["revision"] if item else 0) != it["revision"] for it, (_, item) in zip(expected, current)):
            found = b",".join(item["text"] for _, item in current if item)
            return 412, b'{"items":[' + found + b"]}"
        if writes or removed:
            self.revision += 1
            for it in writes:
                self.put(it["key"], it.get("value", ""), it.get("lease", 0))
            for key in removed:
                self.remove(key)
            self.notify()
        return 200, json.dumps({"revision": self.revision}).encode()

    def page(self, prefix, after):
        start = bisect.bisect_left(self.keys, prefix)
        if after:
            start = max(start, bisect.bisect_right(self.keys, after))
        texts, size, has_more = [], 0, False
        for key in self.keys[start:start + PAGE_ITEMS + 1]:
            if not key.startswith(prefix):
                break
            text = self.items[key]["text"]
            if texts and (len(texts) >= PAGE_ITEMS or size + len(text) > PAGE_BYTES * 4 // 3):
                has_more = True
                break
            texts.append(text)
            size += len(text)
        tail = ',"hasMore":%s,"asOf":%d}' % ("true" if has_more else "false", self.revision)
        return b'{"items":[' + b",".join(texts) + b"]" + tail.encode()

    def changes(self, prefix, after):
        if after < self.dropped:
            return None
        texts, size, as_of = [], 0, self.revision
        revisions = [it[0] for it in self.history]
        for index in range(bisect.bisect_right(revisions, after), len(self.history)):
            revision, _, key, text = self.history[index]
            # A response ends at a limit only between two revisions.
            if size > PAGE_BYTES * 4 // 3 and revision != revisions[index - 1]:
                as_of = revisions[index - 1]
                break
            if key.startswith(prefix):
                texts.append(text)
                size += len(text)
        return texts, as_of


async def watch(store, query):
    prefix, after = query.get("pathPrefix", ""), int(query.get("after", 0))
    until = time.monotonic() + min(int(query.get("waitMs", 0)), 30_000) / 1000
    while True:
        changed = store.changed
        found = store.changes(prefix, after)
        if found is None:
            return 410, b"{}"
        texts, as_of = found
        left = until - time.monotonic()
        if texts or left <= 0:
            return 200, b'{"events":[' + b",".join(texts) + b'],"asOf":%d}' % as_of
        try:
            await asyncio.wait_for(changed.wait(), left)
        except asyncio.TimeoutError:
            pass


async def answer(store, method, path, query, headers, body):
    name = path.removeprefix("/eelgrassgap/")
    if name == "kv-key" and method == "GET":
        item = store.items.get(query.get("key", ""))
        if item is None:
            return 404, b'{"asOf":%d}' % store.revision
        return 200, item["text"][:-1] + b',"asOf":%d}' % store.revision
    if name == "kv-range" and method == "GET":
        return 200, store.page(query.get("pathPrefix", ""), query.get("after"))
    if name == "kv-watch" and method == "GET":
        return await watch(store, query)
    if name == "kv-txn" and method == "POST":
        return store.txn(json.loads(body), headers.get("x-platform") == "1")
    if name == "kv-lease" and method == "POST":
        ttl_ms = max(int(json.loads(body)["ttlMs"]), 1000)
        lease = store.next_lease
        store.next_lease += 1
        store.leases[lease] = {"ttl": ttl_ms, "until": time.monotonic() + ttl_ms / 1000, "keys": set()}
        return 200, json.dumps({"lease": lease, "ttlMs": ttl_ms}).encode()
    if name.startswith("kv-keep/") and method == "POST":
        lease = store.leases.get(int(name.split("/")[1]))
        if lease is None:
            return 404, b"{}"
        lease["until"] = time.monotonic() + lease["ttl"] / 1000
        return 200, json.dumps({"lease": int(name.split("/")[1]), "ttlMs": lease["ttl"]}).encode()
    if name.startswith("kv-lease-end/") and method == "DELETE":
        return (200 if store.end_lease(int(name.split("/")[1])) else 404), b"{}"
    return 404, b"{}"


async def read_request(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return method, target, headers, body


async def main():
    port = int(sys.argv[1])
    latency_s = float(sys.argv[2]) / 1000 if len(sys.argv) > 2 else 0.004
    store = Store()

    async def serve(reader, writer):
        try:
            while True:
                method, target, headers, body = await read_request(reader)
                parts = urlsplit(target)
                query = {name: values[-1] for name, values in parse_qs(parts.query, keep_blank_values=True).items()}
                await asyncio.sleep(latency_s)
                status, text = await answer(store, method, unquote(parts.path), query, headers, body)
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % (status, len(text)))
                writer.write(text)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def expire():
        while True:
            await asyncio.sleep(0.05)
            store.expire()

    server = await asyncio.start_server(serve, "127.0.0.1", port, limit=1 << 22)
    task = asyncio.create_task(expire())
    async with server:
        await server.serve_forever()
    task.cancel()


if __name__ == "__main__":
    asyncio.run(main())
