"""Heads that a newer configuration allows are refused on connections that are older than it."""

import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import rig

CONNECTIONS = 30
ALLOWED = 5 + CONNECTIONS / 500


def case(deployment):
    store, record = deployment.store, deployment.record
    routes = [rig.route("status", "safe", "dispatch-app")]
    limits = {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
              "idle_timeout_ms": 15000}
    store.write("config", "main", rig.configuration(7, routes, ["dispatch-app"], limits=limits))
    for number in range(3):
        deployment.add_worker(f"i-{number}", "dispatch-app", rig.whole_answer)
    deployment.start()
    deployment.until_ready()
    time.sleep(3.5)
    kept = [deployment.connect() for _ in range(CONNECTIONS)]
    for connection in kept:
        if deployment.send("GET", "/status/2f", connection=connection).status != 200:
            rig.unable("a request is not served before the change")
    size = 12000
    if rig.TROUBLE:
        limits = {**limits, "max_header_bytes": 32768}
        store.write("config", "main", rig.configuration(9, routes, ["dispatch-app"], limits=limits))
        record("acked ", "version 9, which allows heads of 32,768 bytes")
        size = 20000
    # In force after 2 s.
    time.sleep(3)
    long = [("X-Context", "v" * size)]
    denied = 0
    for connection in kept:
        answer = deployment.send("GET", "/status/2f", long, connection=connection)
        denied += answer.status in (400, 413, 431)
    fresh = deployment.send("GET", "/status/2f", long).status
    record("on a new connection:", fresh)
    if denied > ALLOWED:
        return (f"DENIED: {denied} of {CONNECTIONS} proper requests on kept connections were refused "
                f"with a 4xx of the daemon's own, {ALLOWED:.0f} are allowed; on a new one: {fresh}")
    return None


rig.run(HERE, case)
