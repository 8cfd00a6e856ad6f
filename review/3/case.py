"""A whole configuration is dropped for the rank of one route, and the old one counts as the newest."""

import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import rig

REVOKED = "n2ctnfzs989anu6wsjnb"
REVOKE_S = rig.BOUNDS["revoke_ms"] / 1000
WATCHED_S = 20
RANK = 1000


def case(deployment):
    store, record = deployment.store, deployment.record
    routes = [rig.route("status", "safe", "dispatch-app"),
              rig.route("report", "unsafe", "dispatch-app")]
    keys = (rig.KEY, REVOKED)
    store.write("config", "main", rig.configuration(7, routes, ["dispatch-app"], keys=keys))
    for number in range(3):
        deployment.add_worker(f"i-{number}", "dispatch-app", rig.whole_answer)
    deployment.start()
    deployment.until_ready()
    time.sleep(3.5)
    acked_at = None
    if rig.TROUBLE:
        routes = [rig.route("status", "safe", "dispatch-app"),
                  rig.route("report", "unsafe", "dispatch-app", priority=RANK)]
        store.write("config", "main", rig.configuration(9, routes, ["dispatch-app"]))
        acked_at = record.now()
        record("acked ", f"version 9: a key is taken away, and a route gets the rank {RANK}")
    broken = []
    until = record.now() + WATCHED_S
    while record.now() < until:
        sent_at = record.now()
        answer = deployment.send("POST", "/report/2f", body=b"x", key=REVOKED)
        ran = any(request.id == answer.id for worker in deployment.workers
                  for _, request in worker.ran)
        if ran and acked_at is not None and sent_at > acked_at + REVOKE_S:
            broken.append(sent_at - acked_at)
        time.sleep(0.25)
    if broken:
        return (f"CONFIG: {len(broken)} requests ran with a key that was taken away, "
                f"sent {broken[0]:.1f} to {broken[-1]:.1f} s after the acknowledgement")
    return None


rig.run(HERE, case)
