"""Three runners of a service crash one after the other while they begin the items of a job."""

import asyncio
import base64
import json
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standin"))

import harness  # noqa: E402
import http1  # noqa: E402

ITEMS, RUNNERS, SLOTS = 12, 3, 4
CRASH_GAP_S, DOWN_S = 0.25, 2.0
# The bounds of the rule: what is open at the end of `completionS` may not have lain idle for `CALM_S`.
COMPLETION_S, CALM_S = 18.0, 5.0
HOST = "ficu95.example"
BATCH_ROUTE = {"name": "r-batch", "host": HOST, "pathPrefix": "/pule252/", "routeType": "batch", "timeoutMs": 15000,
               "targetLatencyMs": 400, "priority": 2, "service": "scribe", "maxAttempts": 3, "dueMs": 18000,
               "maxQueueS": 60, "sessionAffinity": True, "resumable": True, "gapAimMs": 250}
LIMITS = {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
SPEED = {"slots": SLOTS, "first_ms": 600, "gap_ms": 150, "events": 20}


def job(name):
    """Builds a job whose prompts share their first part, as those of one kind of request do."""
    items = []
    for number in range(ITEMS):
        headers = {"X-Eelgrassgap-Model": "m", "X-Eelgrassgap-Token-Count": "350,20"}
        headers["X-Eelgrassgap-Prefix-Hash"] = f"9c2e41:100,{name}{number:02x}:250"
        items.append({"id": f"{name}-{number:02}", "path": f"/pule252/{name}/{number}", "headers": headers,
                      "body": base64.b64encode(f"body {number}".encode()).decode(), "tokens": 370})
    return json.dumps({"items": items}).encode()


async def submit(run, front, name):
    headers = {"Host": HOST, "X-Eelgrassgap-Attempt-Id": name, "X-Eelgrassgap-Deadline-Ms": "4000"}
    answer = await http1.call(front["listen.front"], "POST", "/pule252/" + name, headers, job(name))
    run.record("job", name, "is answered", answer and answer[0])
    if not answer or answer[0] != 202:
        raise RuntimeError("the job was not accepted")


async def results(run, front, name):
    answer = await http1.call(front["listen.front"], "GET", f"/eelgrassgap/lots/{name}?after=0", {"Host": HOST})
    if not answer or answer[0] != 200:
        raise RuntimeError(f"the job cannot be read: {answer and answer[0]}")
    listed = json.loads(answer[2])["results"]
    states = [it["state"] for it in listed]
    run.record("job", name, "has", states.count("completed"), "completed and", states.count("errored"), "errored items")
    return {it["id"] for it in listed}


async def crash_all(run, runners):
    """Crashes one runner after the other; each starts again under another id."""
    async def restart(number, runner):
        await run.crash_runner(runner)
        await asyncio.sleep(DOWN_S)
        await run.start_runner(f"i-b{number}", "scribe", runner["port"], **SPEED)

    restarts = []
    for number, runner in enumerate(runners):
        await asyncio.sleep(CRASH_GAP_S)
        restarts.append(asyncio.create_task(restart(number, runner)))
    await asyncio.gather(*restarts)


async def case(run):
    run.store.put("op/config", {"version": 1, "routes": [BATCH_ROUTE], "limits": LIMITS, "services": [
        {"name": "scribe", "healthPath": "/health", "maxConns": 200}]})
    runners = [await run.start_runner(f"i-a{number}", "scribe", **SPEED) for number in range(RUNNERS)]
    front = await run.start_node("gateway", "front-a-1")
    await run.start_node("batch", "storage-a-1")
    await run.wait_ready(front)
    await asyncio.sleep(4.0)
    await submit(run, front, "j1")
    while not all(runner["got"] for runner in runners):
        await asyncio.sleep(0.01)
    if run.trouble:
        await crash_all(run, runners)
    await asyncio.sleep(3.0)
    await submit(run, front, "j2")
    await asyncio.sleep(COMPLETION_S)
    open_items = {f"{name}-{number:02}" for name in ("j1", "j2") for number in range(ITEMS)}
    for name in ("j1", "j2"):
        open_items -= await results(run, front, name)
    since = run.now() - CALM_S
    busy = [it for it in run.events if it[0] >= since and it[2] in ("got", "end")]
    run.record(len(open_items), "items are open; in the last 5 s the runners had", len(busy), "runs")
    return harness.BROKEN if open_items and not busy else harness.HELD


harness.run(case, HERE)
