"""A new version adds a route to a service whose runners have registered before."""

import asyncio
from pathlib import Path

from loopback_2 import CONTACT_S, Fleet, build_config, has_trouble, run_case

FOLDER = Path(__file__).resolve().parent
N_SERVERS = 2
# Time from the entries of the new service to the configuration that names it, seconds.
REGISTERED_S = 3.0
CONFIG_S = 2.0
TRAFFIC_S = 40.0
REQUESTS_PER_S = 5.0
OLD_ROUTE = {"prefix": "/order/", "service": "depot"}
NEW_ROUTE = {"prefix": "/stock/", "service": "ledger"}


async def send_load(fleet, path):
    """Send requests on a route for a while; return their statuses."""
    tasks = []
    for number in range(int(TRAFFIC_S * REQUESTS_PER_S)):
        host = fleet.hosts[number % len(fleet.hosts)]
        request_id = f"{path.strip('/').replace('/', '-')}-{number}"
        tasks.append(asyncio.ensure_future(fleet.send(host, path, request_id)))
        await asyncio.sleep(1.0 / REQUESTS_PER_S)
    return await asyncio.gather(*tasks)


async def play(folder):
    """Return whether the added route is served less than a quarter as often."""
    fleet = Fleet(folder, n_hosts=3)
    depot, ledger = {"name": "depot"}, {"name": "ledger"}
    names = [depot] if has_trouble() else [depot, ledger]
    fleet.store.put("op/config", build_config(1, [OLD_ROUTE], names))
    fleet.record.add(f"version 1 names {[one['name'] for one in names]}")
    try:
        for number in range(N_SERVERS):
            await fleet.add_server(f"i-depot-{number}", "depot")
        await fleet.start_hosts()
        for number in range(N_SERVERS):
            await fleet.add_server(f"i-ledger-{number}", "ledger")
        fleet.record.add("the runners of ledger have registered")
        await asyncio.sleep(REGISTERED_S)
        config = build_config(2, [OLD_ROUTE, NEW_ROUTE], [depot, ledger])
        fleet.store.put("op/config", config)
        fleet.record.add("version 2 adds the route /stock/ to ledger")
        await asyncio.sleep(CONFIG_S + CONTACT_S)
        old, new = await asyncio.gather(
            send_load(fleet, "/order/1"), send_load(fleet, "/stock/1")
        )
        old_share, new_share = old.count(200) / len(old), new.count(200) / len(new)
        text = (
            f"served: {old_share:.2f} of {len(old)} on the first route, "
            f"{new_share:.2f} of {len(new)} on the added one; statuses there "
            f"{ {one: new.count(one) for one in sorted(set(new))} }"
        )
        fleet.record.add(text)
        print(text)
        return new_share < old_share / 4
    finally:
        await fleet.close()


run_case(play, FOLDER)
