"""A version gives the routes another service; then the agents are restarted."""

import asyncio
import os
import pathlib
import signal
import sys
import traceback

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / '6'))

import deployment as lab  # noqa: E402
import standins  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
CONTRACTS = ('base', 'drain', 'config', 'cost', 'recover', 'health', 'flows')
BLUE, GREEN = 'wuno96b', 'huvo11a'
DEADLINE_S = 2.5
PORT = 8443
FLOWS = 30
GAP_S = 1.2
RESTART_DELAY_S = 0.2
REORDER_S = 2.0
IDLE_S = 12.0


def make_configuration(version, host, service):
    return {
        'version': version,
        'routes': [
            {
                'name': 'r-live',
                'host': host,
                'path_prefix': f'/{PORT}/',
                'kind': 'safe',
                'timeout_ms': 2500,
                'latency_target_ms': 500,
                'priority': 2,
                'service': service,
                'max_attempts': 2,
            }
        ],
        'services': [
            {
                'name': name,
                'health_path': '/health',
                'max_conns': 2000,
                'protocol': 'h1',
                'tls': False,
            }
            for name in (BLUE, GREEN)
        ],
        'limits': {'idle_timeout_ms': 15000},
    }


class CountingEndpoint(standins.Endpoint):
    """Notes the arrivals of all packets but openings, by flow."""

    arrivals = {}

    def _receive(self, raw):
        packet = standins.Packet.decode(raw)
        if not packet.flags & standins.SYN:
            key = (packet.src, packet.sport)
            self.arrivals.setdefault(key, []).append((standins.now(), self.id))
        super()._receive(raw)


async def restart(instance):
    instance.process.send_signal(signal.SIGTERM)
    started = standins.now()
    while instance.process.poll() is None:
        if standins.now() - started > 6:
            instance.process.kill()
        await asyncio.sleep(0.02)
    await asyncio.sleep(RESTART_DELAY_S)
    instance.bootstrap = False
    instance.start()


async def play(record, deployment):
    live = deployment.make_address(250)
    route = (live, PORT)
    client = standins.Client(record, deployment.make_address(230))
    endpoints = [
        CountingEndpoint(lambda text: None, agent, f'i-{agent.node}')
        for agent in deployment.agents
    ]
    await client.start()
    for instance in deployment.instances:
        instance.start()
    operator = standins.Operator(record, deployment.controls)
    if await operator.put(make_configuration(7, live, BLUE)) is None:
        raise RuntimeError('the first configuration was not accepted')
    for endpoint in endpoints:
        await endpoint.start()
    await asyncio.sleep(8)
    flows = []
    for number in range(FLOWS):
        entry = deployment.entries[number % len(deployment.entries)]
        flow = client.make_flow(entry, route)
        if not await flow.open() or not await flow.request(
            f'first-{number}', DEADLINE_S
        ):
            raise RuntimeError('no request was served before the change')
        flows.append(flow)
    idle_since = standins.now()
    if await operator.put(make_configuration(12, live, GREEN)) is None:
        raise RuntimeError('the second configuration was not accepted')
    await asyncio.sleep(1)
    if TROUBLE:
        record('all agents are stopped and started, two at a time')
        tasks = []
        for start in range(0, len(deployment.agents), 2):
            for agent in deployment.agents[start : start + 2]:
                tasks.append(asyncio.create_task(restart(agent)))
            await asyncio.sleep(GAP_S)
        await asyncio.gather(*tasks)
    await asyncio.sleep(max(0, idle_since + IDLE_S - standins.now()))
    sent = standins.now()
    record(f'the flows were idle for {sent - idle_since:.1f} s at most')
    if sent - idle_since > 14.5:
        raise RuntimeError('the flows were idle for too long')
    bodies = await asyncio.gather(
        *(
            flow.request(f'second-{flow.port}', DEADLINE_S)
            for flow in flows
        )
    )
    new = client.make_flow(deployment.entries[0], route)
    served = await new.open() and await new.request('new', DEADLINE_S)
    record(f'a new flow is answered: {served!r}')
    broken = 0
    for flow, body in zip(flows, bodies):
        broken += judge(record, endpoints, flow, body, sent)
    for endpoint in endpoints:
        endpoint.stop()
    client.stop()
    record(f'{broken} of {len(flows)} flows broken')
    return bool(broken)


def judge(record, endpoints, flow, body, sent):
    """Return whether FLOW (a) or (b) was broken for a flow."""
    key = (flow.client.ip, flow.port, *flow.route)
    (owner,) = (
        endpoint.id
        for endpoint in endpoints
        if key in endpoint.flows and endpoint.flows[key].is_open
    )
    arrivals = [
        item
        for item in CountingEndpoint.arrivals[key[:2]]
        if item[0] >= sent
    ]
    others = [item for item in arrivals if item[1] != owner]
    until = others[0][0] + REORDER_S if others else 0
    window = [item for item in others if item[0] <= until]
    own = [item for item in arrivals if item[1] == owner and item[0] <= until]
    resets = [item for item in flow.resets if not item[1] and item[2]]
    record(
        f'flow {flow.port}, open at {owner}: answer {body!r}, resets of the'
        f' system {len(resets)}, for {REORDER_S} s {len(window)} packets'
        f' reached {sorted({item[1] for item in window})} and {len(own)} its'
        ' own endpoint'
    )
    return bool(resets) or (len(window) >= 3 and not own)


async def main():
    record = standins.Record(FOLDER / 'record.txt')
    deployment = lab.Deployment(
        controls=5,
        entries=2,
        agents=[BLUE] * 3 + [GREEN] * 6,
        tolerate=2,
        contracts=CONTRACTS,
    )
    try:
        async with asyncio.timeout(110):
            broken = await play(record, deployment)
    except Exception:
        record(f'the case could not run: {traceback.format_exc()}')
        return 2
    finally:
        deployment.close()
    record('FLOW is broken' if broken else 'FLOW held')
    return 1 if broken else 0


if __name__ == '__main__':
    sys.exit(asyncio.run(main()))
