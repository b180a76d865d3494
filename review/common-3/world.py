"""Stand-ins of the platform's store, of servers and of clients, and nodes as processes, all on loopback.

They follow the users' protocol page. Only the standard library is used. Every script runs in one event loop; the
nodes are processes of their own, with the command of the deploy file.
"""

import asyncio
import json
import os
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
REPLY_LIMIT = 4096  # "at most 4 KiB"
KEYS = 65536


def now():
    return time.monotonic()


class Record:
    """What was sent, answered and run, a line each."""

    def __init__(self, folder):
        self.file = open(Path(folder) / "record.txt", "w", encoding="utf-8")
        self.began = now()

    def line(self, text):
        self.file.write(f"{now() - self.began:9.3f} {text}\n")

    def close(self):
        self.file.close()


async def read_head(reader):
    """Reads a start line and header fields; None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields, until_close=False):
    """Reads a body by its framing. Raises when it is cut short."""
    if "chunked" in fields.get("transfer-encoding", "").lower():
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            if size == 0:
                while (await reader.readuntil(b"\r\n")) != b"\r\n":
                    pass
                return body
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    if "content-length" in fields:
        return await reader.readexactly(int(fields["content-length"]))
    return await reader.read() if until_close else b""


def response_bytes(status, body, fields=(), reason="-"):
    lines = [f"HTTP/1.1 {status} {reason}", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in fields]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def call(address, method, path, fields=(), body=b"", wait=5.0):
    """Makes one call on a connection of its own. Returns status, fields and body; status None without an answer."""
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection(*address, limit=1 << 20)
        lines = [f"{method} {path} HTTP/1.1"]
        if not any(name.lower() == "host" for name, _ in fields):
            lines.append(f"Host: {address[0]}:{address[1]}")
        lines += [f"{name}: {value}" for name, value in fields]
        if body or method in ("POST", "PUT"):
            lines.append(f"Content-Length: {len(body)}")
        lines.append("Connection: close")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await writer.drain()
        head = await read_head(reader)
        if head is None:
            return None, {}, b""
        status = int(head[0].split()[1])
        return status, head[1], await read_body(reader, head[1], until_close=True)

    try:
        return await asyncio.wait_for(exchange(), wait)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None, {}, b""
    finally:
        if writer is not None:
            writer.close()


class Store:
    """The platform's store: objects with one revision counter, lists and watches."""

    DELAY = 0.004

    def __init__(self, revision=10, history_s=20.0):
        self.revision = revision
        self.objects = {}
        self.history = []
        self.history_s = history_s
        self.changed = asyncio.Event()  # replaced after each change
        self.server = None
        self.address = None
        self.era = None  # stated in all answers once the store takes part in drills
        self.away = None  # "busy" (503) or "silent" while the store is away
        self.connections = set()

    def copy(self):
        """Returns what the store holds now."""
        return self.revision, dict(self.objects)

    def restore(self, copy):
        """Returns the store to a copy: what was written since is gone, and the era rises by one."""
        self.revision, self.objects = copy[0], dict(copy[1])
        self.history = [entry for entry in self.history if entry[1] <= self.revision]
        self.era = (self.era or 0) + 1
        self.wake()

    def cut(self):
        """Closes all connections."""
        for writer in list(self.connections):
            writer.transport.abort()

    async def start(self, host):
        self.server = await asyncio.start_server(self.serve, host, 0, limit=1 << 22)
        self.address = self.server.sockets[0].getsockname()[:2]

    async def put(self, kind, name, spec):
        self.revision += 1
        found = self.objects.get((kind, name))
        created = found["metadata"]["created"] if found else self.revision
        meta = {"name": name, "revision": self.revision, "created": created, "finalizers": [], "deletionPending": False}
        item = {"metadata": meta, "spec": spec, "status": None}
        self.objects[(kind, name)] = item
        self.history.append((now(), self.revision, kind, item, False))
        self.wake()
        return item

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def text_of(self, kind, name):
        found = self.objects.get((kind, name))
        return found["spec"] if found else None

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                method, target, _ = head[0].split(" ")
                body = await read_body(reader, head[1])
                while self.away == "silent":
                    await asyncio.sleep(0.05)
                status, answer = (503, {}) if self.away else await self.answer(method, target, body)
                fields = [("Content-Type", "application/json")]
                if self.era is not None:
                    fields.append(("Store-Era", str(self.era)))
                writer.write(response_bytes(status, json.dumps(answer).encode(), fields))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def answer(self, method, target, body):
        path, _, query = target.partition("?")
        query = dict(part.split("=", 1) for part in query.split("&") if "=" in part)
        parts = path.strip("/").split("/")[1:]
        kind, name = parts[0], parts[1] if len(parts) > 1 else None
        if method == "GET" and name is None and "watch" in query:
            return await self.watch(kind, int(query["watch"]), int(query.get("waitMs", "0")))
        await asyncio.sleep(self.DELAY)
        value = json.loads(body) if body else {}
        found = self.objects.get((kind, name)) if name else None
        if method == "GET" and name is None:
            names = sorted(n for (k, n) in self.objects if k == kind and n > query.get("after", ""))
            page = names[:500]
            items = [self.objects[(kind, n)] for n in page]
            return 200, {"items": items, "hasMore": len(names) > len(page), "at": self.revision}
        if method == "GET":
            return (200, found) if found else (404, {})
        if method == "POST" and name is None:
            name = value["metadata"]["name"]
            if (kind, name) in self.objects:
                return 409, self.objects[(kind, name)]
            return 200, await self.put(kind, name, value.get("spec"))
        if method == "PUT":
            if found is None:
                return 404, {}
            wanted = value.get("metadata", {}).get("revision")
            if wanted is not None and wanted != found["metadata"]["revision"]:
                return 409, found
            if found["spec"] == value.get("spec"):
                return 200, found
            return 200, await self.put(kind, name, value.get("spec"))
        if method == "DELETE":
            if found is None:
                return 404, {}
            await self.remove(kind, name)
            return 200, {}
        return 404, {}

    async def remove(self, kind, name):
        item = self.objects.pop((kind, name))
        self.revision += 1
        self.history.append((now(), self.revision, kind, item, True))
        self.wake()

    async def watch(self, kind, after, wait_ms):
        until = now() + min(wait_ms, 30000) / 1000
        era = self.era
        while True:
            if era != self.era:
                return 410, {}
            oldest = now() - self.history_s
            self.history = [entry for entry in self.history if entry[0] >= oldest]
            if after > self.revision:
                return 410, {}
            events = [{"object": item, "deleted": gone} for _, rev, k, item, gone in self.history if k == kind and rev > after]
            if events or now() >= until:
                return 200, {"events": events, "at": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), max(0.001, until - now()))
            except asyncio.TimeoutError:
                pass


class Server:
    """A server (an upstream) on the machine of a node: it beats, holds keys by lease and runs requests."""

    def __init__(self, record, ident, service, node, zone="z-a", slots=6, work_s=0.05, keyed=False, interval=0.87):
        self.record = record
        self.id = ident
        self.service = service
        self.node = node
        self.zone = zone
        self.slots = slots
        self.work_s = work_s
        self.keyed = keyed
        self.interval = interval
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.fence = [0] * KEYS  # the token with which a key is held, 0 without one
        self.seen = [0] * KEYS  # the highest token seen of a key
        self.busy = {}  # running requests by key
        self.releasing = {}  # keys that are left out but still worked on, with their tokens
        self.released = []
        self.hold_until = 0.0
        self.running = 0
        self.queue = asyncio.Semaphore(slots)
        self.ran = {}
        self.beats = {"acknowledged": 0, "too long": 0, "failed": 0}
        self.longest_reply = 0
        self.tasks = []
        self.server = None
        self.serial = 0

    async def start(self):
        host, port = self.node.target
        self.server = await asyncio.start_server(self.serve, host, port, limit=1 << 20)
        self.tasks.append(asyncio.create_task(self.beat_forever()))

    def held(self, key):
        return now() < self.hold_until and self.fence[key] > 0

    def lapse(self):
        if self.hold_until and now() >= self.hold_until and any(self.fence):
            self.record.line(f"server {self.id}: its hold has run out")
            self.fence = [0] * KEYS
            self.releasing = {}

    @staticmethod
    def rows(values):
        """Returns [from, to, value] for the runs of equal values above zero."""
        rows, start = [], 0
        for key in range(1, KEYS + 1):
            if key == KEYS or values[key] != values[start]:
                if values[start]:
                    rows.append([start, key - 1, values[start]])
                start = key
        return rows

    def beat_body(self):
        self.sequence += 1
        held = list(self.fence)
        for key, token in self.releasing.items():
            held[key] = held[key] or token
        status = {"state": self.state, "sequence": self.sequence, "warmupLeftS": 0}
        info = {"service": self.service, "version": "v1", "zone": self.zone, "maxConcurrency": self.slots}
        body = {"address": "%s:%d" % self.node.target, "born": self.born, "info": info, "status": status}
        body["holds"] = self.rows(held) if self.keyed else []
        body["released"] = list(self.released)
        return json.dumps(body).encode()

    async def beat_forever(self):
        while True:
            sent = now()
            again = await self.beat()
            pause = 0.1 if again else self.interval
            await asyncio.sleep(max(0.01, sent + pause - now()))

    async def beat(self):
        self.lapse()
        sent, reported = now(), len(self.released)
        path = f"/instances/{self.id}/heartbeat"
        fields = [("Content-Type", "application/json")]
        status, _, body = await call(self.node.admin, "POST", path, fields, self.beat_body(), wait=1.0)
        self.longest_reply = max(self.longest_reply, len(body))
        if status is None or not 200 <= status < 300:
            self.beats["failed"] += 1
            return False
        if len(body) > REPLY_LIMIT:
            self.beats["too long"] += 1
            self.record.line(f"server {self.id}: reply to beat {self.sequence} has {len(body)} bytes, no acknowledgement")
            return False
        self.beats["acknowledged"] += 1
        del self.released[:reported]
        answer = json.loads(body or b"{}")
        if self.keyed and "holds" in answer:
            self.take(answer["holds"], sent + answer["holdS"])
        return bool(self.releasing)

    def take(self, rows, until):
        """Takes over a grant: what is left out is released once no request works on it."""
        self.lapse()
        granted = [0] * KEYS
        for first, last, token, _handover in rows:
            if all(self.seen[key] <= token for key in range(first, last + 1)):
                for key in range(first, last + 1):
                    granted[key] = token
                    self.seen[key] = token
        for key in range(KEYS):
            if self.fence[key] and not granted[key]:
                self.releasing[key] = self.fence[key]
            elif granted[key]:
                self.releasing.pop(key, None)
        self.fence = granted
        self.hold_until = until
        self.release_idle()

    def release_idle(self):
        idle = sorted(key for key in self.releasing if not self.busy.get(key))
        start = None
        for position, key in enumerate(idle):
            if start is None:
                start = key
            follows = position + 1 < len(idle) and idle[position + 1] == key + 1
            if not follows or self.releasing[idle[position + 1]] != self.releasing[key]:
                self.serial += 1
                self.released.append([start, key, f"{abs(hash((self.id, self.serial))) % (1 << 64):016x}"])
                start = None
        for key in idle:
            del self.releasing[key]

    async def serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head[1])
                writer.write(await self.run(head, body))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass
        finally:
            writer.close()

    def refuse(self, status, ident):
        return response_bytes(status, b"", [("Wagtailpulley-Request-Id", ident), ("Wagtailpulley-Not-Executed", "1")])

    async def run(self, head, body):
        fields = head[1]
        ident = fields.get("wagtailpulley-request-id", "")
        if fields.get("wagtailpulley-expect-instance", self.id) != self.id:
            return self.refuse(421, ident)
        key = int(fields["wagtailpulley-shard-key"]) if self.keyed else None
        if key is not None and not self.held(key):
            self.record.line(f"server {self.id}: 421 to {ident}, key {key} is not held")
            return self.refuse(421, ident)
        began = now()
        deadline = began + int(fields.get("wagtailpulley-request-deadline", "10000")) / 1000
        if key is not None:
            self.busy[key] = self.busy.get(key, 0) + 1
        try:
            async with self.queue:
                if now() >= deadline:
                    return self.refuse(503, ident)
                self.ran.setdefault(ident, []).append(now())
                await asyncio.sleep(self.work_s)
        finally:
            if key is not None:
                self.busy[key] -= 1
        if key is not None and not self.held(key) and key not in self.releasing:
            return response_bytes(500, b"", [("Wagtailpulley-Request-Id", ident), ("Wagtailpulley-Response-Seal", "s")])
        if self.releasing:
            self.release_idle()
        seal = ("Wagtailpulley-Response-Seal", f"{self.id}.{ident}")
        return response_bytes(200, f"{self.id}:{ident}".encode(), [("Wagtailpulley-Request-Id", ident), seal])

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        if self.server is not None:
            self.server.close()


class Node:
    """A node as a process, with a settings file like those of a small deployment."""

    def __init__(self, world, index, service, zone="z-a", further=""):
        self.world = world
        self.index = index
        self.service = service
        self.zone = zone
        self.further = further
        self.name = f"sidecar-{zone}-{index}"
        self.host = f"127.{world.net}.{index + 1}.1"
        ports = world.free_ports(self.host, 6)
        self.target, self.callers, self.readiness, self.admin, self.peers = [(self.host, port) for port in ports[:5]]
        self.metrics = ports[5]
        self.path = Path(world.folder) / f"{self.name}.conf"
        self.process = None

    def settings(self):
        at = lambda address: "%s:%d" % address
        return (
            f"nodeId={self.name}\nrole=node\nmachineClass=sidecar\nserves=sidecar\nip={self.host}\nzone={self.zone}\n"
            f"region=z\nlistenAddrs.inbound={at(self.peers)}\nlistenAddrs.outbound={at(self.callers)}\n"
            f"listenAddrs.readiness={at(self.readiness)}\nlistenAddrs.admin={at(self.admin)}\nseeds=\nbootstrap=true\n"
            "limits.cpuShare=0.2\nlimits.cpuCores=1\nlimits.memoryMb=260\nlimits.maxFds=4100\nlimits.linkMbps=1000.0\n"
            "heartbeatIntervalS=0.87\ncontracts=base,drain,config,cost,retry,recover,own,platform\n"
            "bounds.seedLagS=3\nbounds.reuseAfterS=2\nbounds.stabilityWindowS=3\nbounds.ackS=4\nbounds.syncS=4\n"
            "bounds.drainS=2\nbounds.graceS=6\nbounds.lossSlackS=0.2\nbounds.configApplyS=2\nbounds.rollbackSlackS=0.25\n"
            "bounds.maxSkewS=5\nbounds.retryBudgetRatio=0.2\nbounds.budgetWindowS=10\nbounds.retryBudgetSlack=60\n"
            "bounds.recoverS=15\nbounds.holdMaxS=10\nbounds.thawS=0.3\ngrants=heartbeat\n"
            f"appAddr={at(self.target)}\nservice={self.service}\nplatform.address={at(self.world.store.address)}\n"
            "platform.form=objects\nplatform.writesPerS=400\nplatform.readsPerS=2000\nplatform.historyS=20\n"
            f"platform.valueBytes=1048576\nplatform.minTtlS=1\n{self.further}"
        )

    def start(self):
        self.path.write_text(self.settings(), encoding="utf-8")
        command = self.world.command[:]
        if "--metrics-port" in command:
            command[command.index("--metrics-port") + 1] = str(self.metrics)
        log = open(self.path.with_suffix(".log"), "ab")
        environment = {"PATH": os.environ.get("PATH", ""), "WAGTAILPULLEY_CONFIG": str(self.path)}
        self.process = subprocess.Popen(command, cwd=ROOT, env=environment, stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        log.close()

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self):
        if self.process is not None:
            if self.process.poll() is None:
                self.process.kill()
            self.process.wait()

    async def is_ready(self):
        return (await call(self.readiness, "GET", "/readiness", wait=1.0))[0] == 200


class World:
    """The store, the nodes and their servers of one run."""

    def __init__(self, record):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="wagtail-review-")
        self.net = os.getpid() % 250 + 1
        self.store = Store()
        self.nodes = []
        self.servers = []
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["node"]
        self.command = role["run"].split(" ")
        self.command[0] = str(ROOT / self.command[0])

    @staticmethod
    def free_ports(host, count):
        import socket

        sockets = []
        for _ in range(count):
            sock = socket.socket()
            sock.bind((host, 0))
            sockets.append(sock)
        ports = [sock.getsockname()[1] for sock in sockets]
        for sock in sockets:
            sock.close()
        return ports

    async def wait_until(self, condition, limit, what):
        until = now() + limit
        while now() < until:
            if await condition():
                return
            await asyncio.sleep(0.1)
        raise CannotRun(what)

    def read_logs(self, word):
        lines = []
        for node in self.nodes:
            log = node.path.with_suffix(".log")
            if log.exists():
                lines += [f"{node.name}: {line}" for line in log.read_text(errors="replace").splitlines() if word in line]
        return lines

    async def stop(self):
        for server in self.servers:
            await server.stop()
        for node in self.nodes:
            node.kill()
        if os.environ.get("KEEP_LOGS"):
            print("logs in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class CannotRun(Exception):
    """The case could not be set up."""


def configuration(version, routes, services):
    resources = []
    for name, spec in routes.items():
        resources.append({"resourceKind": "routes", "metadata": {"name": name}, "spec": spec})
    for name, spec in services.items():
        base = {"healthPath": "/health", "maxConnections": 120, "protocol": "h1", "tls": False}
        resources.append({"resourceKind": "services", "metadata": {"name": name}, "spec": {**base, **spec}})
    limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": 15}
    resources.append({"resourceKind": "limits", "metadata": {}, "spec": limits})
    return {"version": f"{version:08x}", "resources": resources}


def main(folder, case):
    """Runs a case: a coroutine that takes the record, the world and whether the disruption comes, and returns
    whether the rule held."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder)

    async def play():
        world = World(record)
        try:
            return await asyncio.wait_for(case(record, world, trouble), 118)
        finally:
            await world.stop()

    try:
        held = asyncio.run(play())
    except (CannotRun, asyncio.TimeoutError, OSError) as error:
        record.line(f"the case could not run: {error!r}")
        print(f"could not run: {error!r}")
        record.close()
        sys.exit(2)
    record.close()
    print("the rule held" if held else "the rule was broken")
    sys.exit(0 if held else 1)
