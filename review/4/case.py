"""Requests without a key are refused with 401 once a configuration has no tenants any more."""

import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import rig

REQUESTS = 60
ALLOWED = 5 + REQUESTS / 500


def case(deployment):
    store, record = deployment.store, deployment.record
    routes = [rig.route("status", "safe", "dispatch-app"),
              rig.route("report", "unsafe", "dispatch-app")]
    store.write("config", "main", rig.configuration(7, routes, ["dispatch-app"]))
    for number in range(3):
        deployment.add_worker(f"i-{number}", "dispatch-app", rig.whole_answer)
    deployment.start()
    deployment.until_ready()
    time.sleep(3.5)
    key = rig.KEY
    if rig.TROUBLE:
        without = rig.configuration(9, routes, ["dispatch-app"])
        del without["tenants"]
        store.write("config", "main", without)
        record("acked ", "version 9, which has no tenants: requests carry no key")
        key = None
    # In force after 2 s.
    time.sleep(3)
    denied = 0
    for number in range(REQUESTS):
        method, path = [("GET", "/status/2f"), ("POST", "/report/2f")][number % 2]
        answer = deployment.send(method, path, body=b"x" if method == "POST" else b"", key=key)
        denied += answer.status in (400, 401, 403, 404)
        time.sleep(0.05)
    if denied > ALLOWED:
        return (f"DENIED: {denied} of {REQUESTS} proper requests were refused with a 4xx of the "
                f"daemon's own, {ALLOWED:.0f} are allowed")
    return None


rig.run(HERE, case)
