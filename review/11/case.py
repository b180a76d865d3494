"""Clients leave early, and servers that work on reset further connections while their queue is long. Are keys given to
a second holder meanwhile?"""

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-3"))
from world import KEYS, Node, Server, call, configuration, main, now, read_body, read_head

SERVERS = 5
SLOW_SERVERS = 2  # share 0.4
SLOW_FACTOR = 7.5
RATE = 125.0
WORK_S = 0.051
LEAVE_SHARE = 0.3
LEAVE_S = 0.1  # half the objective
TROUBLE_S = 4.0
PAUSE_S = 0.5
ROUNDS = 18
LONG_QUEUE = 3  # queued requests from which further connections are reset
OVERLAP_S = 0.5


class ResettingServer(Server):
    """A server that finishes what it has begun, also when the client has left, and resets connections that come while
    its queue is long: its port does not listen then."""

    all = []
    overlaps = []

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.inside = 0
        self.closures = 0
        self.opening = None
        ResettingServer.all.append(self)

    def waiting(self):
        return max(0, self.inside - self.slots)

    def entered(self):
        self.inside += 1
        if self.server is not None and self.waiting() >= LONG_QUEUE:
            self.server.close()
            self.server = None
            self.closures += 1
            self.record.line(f"server {self.id}: {self.waiting()} requests wait, connections are reset")

    def left(self):
        self.inside -= 1
        if self.server is None and self.opening is None and self.waiting() < LONG_QUEUE:
            self.opening = asyncio.ensure_future(self.reopen())

    async def reopen(self):
        host, port = self.node.target
        self.server = await asyncio.start_server(self.serve, host, port, limit=1 << 20)
        self.opening = None
        self.record.line(f"server {self.id}: connections are accepted")

    async def serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head[1])
                writer.write(await asyncio.shield(asyncio.ensure_future(self.run(head, body))))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass
        finally:
            writer.close()

    async def run(self, head, body):
        self.entered()
        try:
            return await super().run(head, body)
        finally:
            self.left()

    def take(self, rows, until):
        before = self.fence if now() < self.hold_until else [0] * KEYS
        super().take(rows, until)
        for other in ResettingServer.all:
            if other is self or now() >= other.hold_until:
                continue
            keys = [key for key in range(KEYS) if self.fence[key] and not before[key] and other.fence[key]]
            if keys:
                self.record.line(f"server {self.id} gets keys {keys[0]} to {keys[-1]}, which server {other.id} holds")
                self.tasks.append(asyncio.ensure_future(self.watch_overlap(other, keys)))

    async def watch_overlap(self, other, keys):
        """Notes for how long both servers hold one of the keys."""
        began = now()
        while any(self.held(key) and other.held(key) for key in keys):
            await asyncio.sleep(0.02)
        span = now() - began
        self.overlaps.append((span, keys[0], keys[-1], self.id, other.id))
        self.record.line(
            f"OWNER: servers {self.id} and {other.id} held the same keys ({keys[0]} to {keys[-1]}) for {span:.2f} s"
        )


async def case(record, world, trouble):
    draw = random.Random(14)
    await world.store.start("127.%d.250.1" % world.net)
    route = {"host": "agenda.example", "pathPrefix": "/see/", "routeType": "safe", "timeoutS": 0.8, "targetLatencyS": 0.2,
             "priority": 2, "service": "agenda", "maxAttempts": 2}
    services = {"agenda": {"sharding": True, "warmS": 5.0, "grants": "heartbeat"}}
    await world.store.put("config", "main", configuration(3, {"see": route}, services))
    for index in range(SERVERS):
        node = Node(world, index, "agenda")
        world.nodes.append(node)
        node.start()
        server = ResettingServer(record, f"i-{index}d7f3e91", "agenda", node, work_s=WORK_S, keyed=True)
        world.servers.append(server)
        await server.start()

    serial = 0
    statuses = {}

    async def request(key, node, wait):
        nonlocal serial
        serial += 1
        ident = f"{serial:016x}"
        fields = [("Host", "agenda.example"), ("Wagtailpulley-Request-Id", ident),
                  ("Wagtailpulley-Request-Deadline", "800"), ("Wagtailpulley-Shard-Key", str(key))]
        status, _, _ = await call(node.callers, "GET", f"/see/{ident}", fields, wait=wait)
        statuses[status] = statuses.get(status, 0) + 1
        record.line(f"request {ident} key {key} at {node.name}: {status}{'' if wait > 1 else ', the client leaves early'}")
        return status == 200

    async def served():
        return all([await request(key, node, 1.5) for node in world.nodes for key in range(0, KEYS, 9000)])

    await world.wait_until(served, 25, "the keys are not served at the start")
    statuses.clear()
    flying = set()
    start = now()
    end = start + ROUNDS * (PAUSE_S + TROUBLE_S)

    async def slow_rounds():
        for _ in range(ROUNDS):
            slow = draw.sample(world.servers, SLOW_SERVERS)
            for server in slow:
                server.work_s = WORK_S * SLOW_FACTOR
            record.line("slow: " + ", ".join(server.id for server in slow))
            await asyncio.sleep(TROUBLE_S)
            for server in slow:
                server.work_s = WORK_S
            await asyncio.sleep(PAUSE_S)

    slowing = asyncio.create_task(slow_rounds()) if trouble else None
    moment = start
    while now() < end and not any(overlap[0] > OVERLAP_S for overlap in ResettingServer.overlaps):
        moment += draw.expovariate(RATE)
        await asyncio.sleep(max(0, moment - now()))
        is_round = (now() - start) % (PAUSE_S + TROUBLE_S) < TROUBLE_S
        leaves = trouble and is_round and draw.random() < LEAVE_SHARE
        wait = LEAVE_S if leaves else 1.5
        task = asyncio.create_task(request(draw.randrange(KEYS), draw.choice(world.nodes), wait))
        flying.add(task)
        task.add_done_callback(flying.discard)
    while flying:
        await asyncio.sleep(0.05)
    if slowing is not None:
        slowing.cancel()

    long = [overlap for overlap in ResettingServer.overlaps if overlap[0] > OVERLAP_S]
    closures = [server.closures for server in world.servers]
    text = f"keys with two holders: {len(ResettingServer.overlaps)} times, {len(long)} of them for over {OVERLAP_S} s; closures {closures}; answers {statuses}"
    record.line(text)
    print(text)
    for overlap in long[:5]:
        print("servers %s and %s held keys from %d to %d for %.2f s" % (overlap[3], overlap[4], overlap[1], overlap[2], overlap[0]))
    return not long


main(Path(__file__).resolve().parent, case)
