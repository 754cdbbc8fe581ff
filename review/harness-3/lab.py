"""A small deployment of the project's own programs as separate processes on loopback addresses.

It renders the templates of the deploy file, starts the daemons with the deploy file's command, and has small
stand-ins for the platform, the servers, the operator and the clients. Every link between two machines, and from
a machine to the platform, passes a proxy of its own, so that a machine can be cut off.

How links are told apart: a controller is named by its address and listens for peers on the first port of its
`PortRange`; a process looks for the others on its own first port. Each machine has a first port of its own here, so a
connection to (address of X, first port of Y) is one from Y to X, and a proxy listens there.
"""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
USER_TIMEOUT_S = 8.0  # TCP_USER_TIMEOUT of the project's connections to the platform and to servers.
FIRST_RTO_S = 0.2  # Shortest retransmission timeout of Linux; each further one is twice as long.

BOUNDS = {
    "GraceS": 8, "LeaseMs": 3000, "ThawSlackMs": 300, "UsageWindowS": 5, "UsageLateS": 10, "QuotaWindowS": 8,
    "QuotaOverage": 0.1, "QuotaSlack": 110000, "RetryBudgetRatio": 0.2, "BudgetWindowS": 10, "BudgetSlack": 56,
}


class Record:
    """Writes what happens to record.txt, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.begun = time.monotonic()

    def now(self):
        return time.monotonic() - self.begun

    def __call__(self, text):
        self.file.write(f"{self.now():8.3f} s  {text}\n")
        self.file.flush()


def render(template, fields):
    """Renders a template as the platform does."""

    def find(name, scopes):
        for scope in reversed(scopes):
            value, found = scope, True
            for part in name.split("."):
                if isinstance(value, dict) and part in value:
                    value = value[part]
                elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                    value = value[int(part)]
                else:
                    found = False
                    break
            if found:
                return value
        return None

    def text(value):
        if value is None:
            return ""
        if isinstance(value, bool):
            return "true" if value else "false"
        return str(value)

    def section(part, scopes, item=None, is_last=True):
        out, at = [], 0
        for match in re.finditer(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}|\{\{([\w.,@]+)\}\}", part, re.S):
            out.append(part[at:match.start()])
            at = match.end()
            if match.group(1):
                value = find(match.group(1), scopes)
                if isinstance(value, list):
                    for i, entry in enumerate(value):
                        out.append(section(match.group(2), scopes + [entry], entry, i + 1 == len(value)))
                elif value:
                    out.append(section(match.group(2), scopes, item, is_last))
            elif match.group(3) == ".":
                out.append(text(item))
            elif match.group(3) == ",":
                out.append("" if is_last else ",")
            else:
                out.append(text(find(match.group(3), scopes)))
        out.append(part[at:])
        return "".join(out)

    return section(template, [fields])


class Link:
    """A proxy for the connections of one machine to one place. While the link is cut, nothing passes."""

    def __init__(self, lab, source, target_machine, address, target):
        self.lab, self.source, self.target_machine = lab, source, target_machine
        self.address, self.target = address, target
        self.up = asyncio.Event()
        self.up.set()
        self.healed_at = None
        self.watch = None  # called with each piece that the source sends
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.accept, *self.address)

    def cut(self):
        self.up.clear()

    def heal(self):
        self.healed_at = time.monotonic()
        self.up.set()

    async def accept(self, reader, writer):
        if not self.up.is_set():
            # Its opening packet is lost: nothing that the source writes leaves its machine.
            try:
                while await reader.read(65536):
                    pass
            except OSError:
                pass
            writer.close()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(
            self.pump(reader, far_writer, writer, lambda piece: self.watch and self.watch(piece)),
            self.pump(far_reader, writer, far_writer, None),
        )

    async def pump(self, reader, writer, back, watch):
        """Passes bytes on. Bytes that a cut holds up arrive with the first retransmission after it, as TCP sends them
        again after 0.2, 0.6, 1.4, 3, 6.2 s and so on; they are lost if their sender resets the connection or gives it up."""
        pieces = asyncio.Queue()
        state = {"reset": False}

        async def read():
            try:
                while True:
                    piece = await reader.read(65536)
                    sent_at = time.monotonic()
                    if piece and watch:
                        watch(piece)
                    await pieces.put((piece, sent_at))
                    if not piece:
                        return
            except OSError:
                state["reset"] = True
                await pieces.put((None, time.monotonic()))

        reading = asyncio.ensure_future(read())
        try:
            while True:
                piece, sent_at = await pieces.get()
                if not self.up.is_set():
                    await self.up.wait()
                    rto, due = FIRST_RTO_S, sent_at + FIRST_RTO_S
                    while due < time.monotonic():
                        rto *= 2
                        due += rto
                    if due - sent_at > USER_TIMEOUT_S:
                        state["reset"] = True
                    else:
                        await asyncio.sleep(due - time.monotonic())
                if state["reset"] or piece is None:
                    writer.transport.abort()
                    return
                if not piece:
                    if writer.can_write_eof():
                        writer.write_eof()
                    return
                writer.write(piece)
                await writer.drain()
        except (OSError, RuntimeError):
            back.transport.abort()
        finally:
            if state["reset"]:
                reading.cancel()


class Daemon:
    """A process of the project."""

    def __init__(self, lab, name, fields, template):
        self.lab, self.name, self.fields, self.template = lab, name, fields, template
        self.ip, self.process = fields["Ip"], None
        self.settings = os.path.join(lab.folder, name + ".jsonc")
        self.log = os.path.join(lab.folder, name + ".log")

    def start(self):
        with open(os.path.join(ROOT, self.template)) as template:
            text = render(template.read(), self.fields)
        with open(self.settings, "w") as file:
            file.write(text)
        if self.fields.get("DataDir"):
            os.makedirs(self.fields["DataDir"], exist_ok=True)
        env = {"PATH": os.environ["PATH"], "FLAMINGOCROFT_SETTINGS": self.settings}
        with open(self.log, "a") as log:
            self.process = subprocess.Popen(
                self.lab.command.split(), cwd=ROOT, env=env, stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        self.lab.record(f"start {self.name} (pid {self.process.pid})")

    def signal(self, number):
        self.process.send_signal(number)

    def kill(self):
        if self.process and self.process.poll() is None:
            try:
                self.process.send_signal(signal.SIGCONT)
            except OSError:
                pass
            self.process.kill()
            self.process.wait()

    def wipe(self):
        """Kills the process and empties its disk; it starts again with Bootstrap false."""
        self.kill()
        shutil.rmtree(self.fields["DataDir"])
        self.fields["Bootstrap"] = False

    async def metrics(self):
        status, _, body = await http(self.ip, 9464, "GET", "/metrics", timeout=0.5)
        values = {}
        for line in (body or b"").decode().splitlines():
            if line and not line.startswith("#"):
                name, _, value = line.rpartition(" ")
                values[name] = float(value)
        return values


async def http(host, port, method, path, headers=None, body=b"", timeout=5.0):
    """Sends one request on a new connection. Returns status, headers and body; status 0 if no whole answer came."""
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection(host, port)
        head = {"Host": f"{host}:{port}", "Connection": "close", **(headers or {})}
        if body or method == "POST":
            head["Content-Length"] = str(len(body))
        lines = [f"{method} {path} HTTP/1.1"] + [f"{k}: {v}" for k, v in head.items()]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await writer.drain()
        return await read_answer(reader)

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError):
        return 0, {}, None
    finally:
        if writer:
            writer.close()


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers, until_end):
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += chunk[:-2]
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return await reader.read() if until_end else b""


async def read_answer(reader):
    first, headers = await read_head(reader)
    status = int(first.split()[1])
    return status, headers, await read_body(reader, headers, status not in (204, 304))


async def serve_http(address, handle):
    """Serves HTTP/1.1 with kept connections. `handle` gets method, path, headers, body and returns status, headers, body."""

    async def accept(reader, writer):
        try:
            while True:
                first, headers = await read_head(reader)
                method, path, _ = first.split(" ", 2)
                body = await read_body(reader, headers, False)
                status, more, answer = await handle(method, path, headers, body)
                lines = [f"HTTP/1.1 {status} X"] + [f"{k}: {v}" for k, v in more.items()]
                lines.append(f"Content-Length: {len(answer)}")
                writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + answer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(accept, *address)


class Lab:
    """The deployment: controllers, gateways, the platform, servers, an operator."""

    def __init__(self, record, controllers=3, gateways=1, servers=1, tolerated=1):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review-")
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.deploy = tomllib.load(file)
        self.command = self.deploy["roles"]["controller"]["run"]
        self.net = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}"
        self.links, self.listeners, self.daemons = [], [], []
        self.calls = []  # calls of duties that reached the platform
        self.runs = []  # requests that servers ran
        self.version = 0
        seeds = [f"{self.net}.{i + 1}:8229" for i in range(min(3, controllers))]
        names = [f"core-{i + 1}" for i in range(controllers)] + [f"front-{i + 1}" for i in range(gateways)]
        self.ports = {name: 7600 + 10 * i for i, name in enumerate(names)}
        self.ips = {name: f"{self.net}.{i + 1}" for i, name in enumerate(names)}
        self.platform_address = (f"{self.net}.200", 8225)
        self.server_addresses = [(f"{self.net}.{210 + i}", 8308) for i in range(servers)]
        self.controllers, self.gateways = [], []
        for name in names:
            is_core = name.startswith("core")
            number = names.index(name)
            own_platform = (f"{self.net}.{100 + number}", 8225)
            fields = {
                "Ip": self.ips[name], "Zone": "abc"[number % 3],
                "PortRange": [self.ports[name], self.ports[name] + 5],
                "Seeds": seeds, "Bootstrap": is_core, "Bounds": dict(BOUNDS),
                "FaultTolerance": {"Machines": tolerated, "Zones": 0, "Regions": 0},
                "Limits": {"CpuShare": 0.25, "Cores": 1, "MemoryMb": 260, "MaxFds": 4100, "LinkMbps": 1000.0},
                "CloudApi": {"Address": f"{own_platform[0]}:{own_platform[1]}", "RatePerS": 44.0},
                "Listen": {"Control": f"{self.ips[name]}:8229", "Front": f"{self.ips[name]}:8221",
                           "Ready": f"{self.ips[name]}:8224", "Directory": f"{self.ips[name]}:8226"},
                "DataDir": os.path.join(self.folder, "data-" + name) if is_core else None,
            }
            self.links.append(Link(self, name, "platform", own_platform, self.platform_address))
            daemon = Daemon(self, name, fields, f"deploy/{'controller' if is_core else 'gateway'}.jsonc")
            (self.controllers if is_core else self.gateways).append(daemon)
            self.daemons.append(daemon)
        for source in names:
            for target in names:
                if source != target and target.startswith("core"):
                    at = (self.ips[target], self.ports[source])
                    to = (self.ips[target], self.ports[target])
                    self.links.append(Link(self, source, target, at, to))

    async def start(self):
        for link in self.links:
            await link.start()
        self.listeners.append(await serve_http(self.platform_address, self.handle_platform))
        for number, address in enumerate(self.server_addresses):
            self.listeners.append(await serve_http(address, self.server_handler(number)))
        for daemon in self.daemons:
            daemon.start()

    async def stop(self):
        for daemon in self.daemons:
            daemon.kill()
        for listener in self.listeners + [link.server for link in self.links if link.server]:
            listener.close()
        shutil.rmtree(self.folder, ignore_errors=True)

    def links_of(self, name):
        return [link for link in self.links if name in (link.source, link.target_machine)]

    def platform_link(self, name):
        return next(l for l in self.links if l.source == name and l.target_machine == "platform")

    async def handle_platform(self, method, path, headers, body):
        if path.startswith("/instances"):
            entries = [{
                "Id": f"i-{n}", "Service": "depot", "Address": f"{ip}:{port}", "Zone": "abc"[n % 3], "Version": "v1",
                "Slots": 6, "State": "ready", "ColdLeftMs": 0, "Models": []}
                for n, (ip, port) in enumerate(self.server_addresses)]
            return 200, {"Content-Type": "application/json"}, json.dumps({"Instances": entries, "Next": None}).encode()
        call = {
            "at": time.monotonic(), "path": path, "holder": headers.get("x-flamingocroft-duty-holder"),
            "fence": int(headers.get("x-flamingocroft-fencing-token", "0")), "body": json.loads(body)}
        self.calls.append(call)
        self.record(f"platform gets {path} from {call['holder']}, fencing token {call['fence']}: {body.decode()}")
        return 200, {}, b""

    def server_handler(self, number):
        async def handle(method, path, headers, body):
            if path == "/health":
                return 200, {"X-Flamingocroft-Instance-Id": f"i-{number}"}, b""
            if headers.get("x-flamingocroft-expect-instance", f"i-{number}") != f"i-{number}":
                return 421, {"X-Flamingocroft-Not-Executed": "1"}, b""
            self.runs.append((headers.get("x-flamingocroft-request-id"), number, time.monotonic()))
            await asyncio.sleep(0.02)
            return 200, {"X-Flamingocroft-Request-Id": headers.get("x-flamingocroft-request-id", ""),
                         "X-Flamingocroft-Response-Seal": "seal"}, b"x" * 800
        return handle

    def document(self, version, routes=()):
        prefixes = ["/rel/"] + [f"/{name}/" for name in routes]
        return {
            "Version": version,
            "Routes": [{
                "Name": f"r-{i}", "Host": "depot.example", "PathPrefix": prefix, "Kind": "non_idempotent",
                "TimeoutMs": 1500, "TargetLatencyMs": 300, "Priority": 0, "Service": "depot", "MaxAttempts": 1,
                "Public": False} for i, prefix in enumerate(prefixes)],
            "Services": [{"Name": "depot", "HealthPath": "/health", "MaxConns": 110, "Protocol": "h1", "Tls": False}],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
            "Tenants": [{"Name": "hule", "ApiKeys": ["key-of-hule"], "RatePerS": 0, "Burst": 0}],
        }

    async def operate(self, method, path, body=b"", seconds=10.0, only=None):
        """Calls the controllers in turn as the operator does, until one answers with 200 or the time is over."""
        end, last = time.monotonic() + seconds, None
        while time.monotonic() < end:
            for daemon in only or self.controllers:
                host, port, hops = daemon.ip, 8229, 0
                while True:
                    status, headers, answer = await http(host, port, method, path, body=body, timeout=1.0)
                    if status == 307 and hops < 2:
                        place = headers["location"].removeprefix("http://").split("/", 1)[0]
                        host, port = place.rsplit(":", 1)
                        port, hops = int(port), hops + 1
                        continue
                    break
                if status == 200:
                    return status, answer
                last = status
                await asyncio.sleep(0.1)
        return last, None

    async def put(self, version, routes=(), seconds=10.0):
        body = json.dumps(self.document(version, routes)).encode()
        status, _ = await self.operate("POST", "/api/config/put", body, seconds)
        self.record(f"operator: configuration {version} " + ("acknowledged" if status == 200 else f"not acknowledged, last status {status}"))
        return status == 200

    async def leader(self):
        """Returns the controller that says in its metrics that it leads."""
        for daemon in self.controllers:
            values = await daemon.metrics()
            if any(name.startswith("controller_leads") and value == 1 for name, value in values.items()):
                return daemon
        return None

    async def request(self, number, gateway=0):
        headers = {"Host": "depot.example", "Authorization": "Bearer key-of-hule",
                   "X-Flamingocroft-Request-Id": f"{number:016x}", "X-Flamingocroft-Deadline-Ms": "1500"}
        return await http(self.gateways[gateway].ip, 8221, "POST", "/rel/1", headers, b"{}", 2.0)


def main(folder, scenario, **lab_options):
    """Runs a scenario and exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(os.path.join(folder, "record.txt"))
    record(f"trouble: {trouble}")
    lab = Lab(record, **lab_options)

    async def run():
        # Connections that end with the case are no news.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        try:
            await lab.start()
            return await asyncio.wait_for(scenario(lab, trouble), 110)
        finally:
            await lab.stop()

    try:
        result = asyncio.run(run())
    except Exception as e:  # the case could not run
        record(f"could not run: {e!r}")
        result = 2
    record({0: "the rule held", 1: "THE RULE WAS BROKEN", 2: "the case could not run"}[result])
    raise SystemExit(result)
