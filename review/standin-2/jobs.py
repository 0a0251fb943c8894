"""Submits batch jobs and reads their results, as a client does."""

import asyncio
import base64
import json

import http1

HOST = "club.example"


def route(name, prefix, **fields):
    """A route with the fields of the small deployments' streaming routes, but for `fields`."""
    return {
        "name": name, "host": HOST, "pathPrefix": prefix, "routeType": "streaming", "timeoutMs": 5000,
        "targetLatencyMs": 300, "priority": 0, "service": "scribe", "maxAttempts": 2, "sessionAffinity": True,
        "resumable": True, "gapAimMs": 250, **fields,
    }


def batch_route(name, prefix):
    """A route with the fields of the small deployments' batch routes."""
    return {
        "name": name, "host": HOST, "pathPrefix": prefix, "routeType": "batch", "timeoutMs": 15000,
        "targetLatencyMs": 400, "priority": 2, "service": "scribe", "maxAttempts": 3, "sessionAffinity": True,
        "dueMs": 18000, "maxQueueS": 60,
    }


def manifest(version, routes):
    services = [{"name": "scribe", "healthPath": "/health", "maxConns": 230, "protocol": "h1", "tls": False}]
    limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
    return {"version": version, "routes": routes, "services": services, "limits": limits}


def job_document(prefix, ids, body):
    text = base64.b64encode(body).decode()
    headers = {"X-Eelgrassgap-Model": "m", "X-Eelgrassgap-Token-Count": "250,200"}
    items = [{"id": it, "path": f"{prefix}{it}", "headers": headers, "body": text, "tokens": 450} for it in ids]
    return json.dumps({"items": items}).encode()


async def submit(record, fronts, job, document, prefix):
    """Submits a job at one front after another until it is accepted. Returns whether it was."""
    headers = [("Host", HOST), ("X-Eelgrassgap-Attempt-Id", job), ("Content-Type", "application/json"),
               ("X-Eelgrassgap-Deadline-Ms", "4000")]
    for attempt in range(4):
        front = fronts[attempt % len(fronts)]
        status, _, _ = await http1.call(front.front, "POST", prefix + job, headers, document, 5.5)
        record(f"client: job {job} sent to {front.name}: {status}")
        if status == 202:
            return True
        await asyncio.sleep(0.5)
    return False


async def read_results(fronts, job):
    """Reads all results of a job from the first front that answers. Returns (total, results); the total is None without an answer."""
    for front in fronts:
        results = []
        while True:
            target = f"/eelgrassgap/lots/{job}?after={len(results)}"
            status, _, body = await http1.call(front.front, "GET", target, [("Host", HOST)])
            if status != 200:
                break
            page = json.loads(body)
            results += page["results"]
            if not page["results"] or len(results) >= page["total"]:
                return page["total"], results
    return None, []


async def list_missing(record, fronts, accepted):
    """Returns the items of accepted jobs, given as (job, ids), that are listed neither as completed nor as errored; None if
    a job cannot be read."""
    missing = []
    for job, ids in accepted:
        total, results = await read_results(fronts, job)
        if total is None:
            record(f"client: job {job} cannot be read")
            return None
        listed = {it["id"] for it in results if it["state"] in ("completed", "errored")}
        left = [it for it in ids if it not in listed]
        record(f"client: job {job} is read: {len(results)} of {total} items are listed")
        missing += left
    return missing
