"""A runner leaves after the open connections between the front nodes and the store have gone silent."""

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standin"))

import harness  # noqa: E402
import http1  # noqa: E402
from proxy import Proxy  # noqa: E402

HOST = "ficu95.example"
ROUTE = {"name": "r-portal", "host": HOST, "pathPrefix": "/puxa403/", "routeType": "idempotent", "timeoutMs": 1500,
         "targetLatencyMs": 100, "priority": 0, "service": "portal", "maxAttempts": 2}
LIMITS = {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
# The bounds of the pages: when the node is in touch again, and how long requests may still reach the runner.
CONTACT_S, DRAIN_S = 3.0, 2.0
# How long after the connections went silent the runner's entry is removed, and how long it serves after that.
LEAVES_AFTER_S, SERVES_S = 0.5, 8.0
# Requests a second at each front node; the nodes start one after the other.
FRONTS, START_GAP_S = 3, 0.5
REQUESTS_PER_S, TRAFFIC_S = 15, 18.0


async def send(run, front, number, sent):
    id = f"{front['nodeName']}-{number:03}"
    sent[id] = run.now()
    headers = {"Host": HOST, "X-Eelgrassgap-Attempt-Id": id, "X-Eelgrassgap-Deadline-Ms": "1500"}
    answer = await http1.call(front["listen.front"], "POST", f"/puxa403/{number}", headers, b"x", timeout=3.0)
    run.record("request", id, "sent at", f"{sent[id]:.3f}", "is answered", answer and answer[0])


async def traffic(run, front, sent):
    tasks = []
    for number in range(int(TRAFFIC_S * REQUESTS_PER_S)):
        tasks.append(asyncio.create_task(send(run, front, number, sent)))
        await asyncio.sleep(1 / REQUESTS_PER_S)
    await asyncio.gather(*tasks)


async def case(run):
    run.store.put("op/config", {"version": 1, "routes": [ROUTE], "limits": LIMITS, "services": [
        {"name": "portal", "healthPath": "/health", "maxConns": 200}]})
    proxy = Proxy(run.store.port)
    await proxy.start()
    for id in ("i-stays", "i-leaves"):
        await run.start_runner(id, "portal", slots=6, first_ms=15, gap_ms=0, events=1)
    fronts = []
    for number in range(FRONTS):
        fronts.append(await run.start_node("gateway", f"front-a-{number + 1}", store_port=proxy.port))
        await asyncio.sleep(START_GAP_S)
    for front in fronts:
        await run.wait_ready(front)
    await asyncio.sleep(4.0)
    sent = {}
    clients = asyncio.gather(*(traffic(run, front, sent) for front in fronts))
    await asyncio.sleep(4.0)
    silent_at = run.now()
    if run.trouble:
        run.record("the open connections between the nodes and the store go silent:", proxy.silence())
    await asyncio.sleep(LEAVES_AFTER_S)
    run.store.remove("servers/i-leaves")
    left_at = run.now()
    run.record("the entry of i-leaves is removed, acknowledged by the store")
    await asyncio.sleep(SERVES_S)
    run.runners["i-leaves"]["process"].kill()
    run.record("runner i-leaves exits")
    await clients
    in_touch_at = silent_at + CONTACT_S if run.trouble else 0.0
    late = [it for it in run.events if it[1] == "i-leaves" and it[2] == "got"
            and it[0] > left_at + DRAIN_S and sent[it[3]] > in_touch_at]
    for at, _, _, id, _ in late:
        run.record("late: request", id, "sent at", f"{sent[id]:.3f}", "reaches i-leaves at", f"{at:.3f},",
                   f"{at - left_at:.3f} s after its entry was removed")
    run.record(len(late), "requests reached the runner too late")
    return harness.BROKEN if late else harness.HELD


harness.run(case, HERE)
