"""Stand-ins of the platform for the scripts of the review: store, workers, clients, and a launcher of hosts.

All of them follow the pages of the platform. Every address is a loopback address that is drawn anew for each run.
"""

import base64
import http.client
import http.server
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import threading
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
ROUTE_HOST = "desk.example"
KEY = "key-of-org-a"
TENANT = "org-a"
HEARTBEAT_S = 1.2


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")
        self.lock = threading.Lock()

    def write(self, line):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.start:8.3f} {line}\n")
            self.file.flush()


def loopback():
    """Draws a network of loopback addresses; the last number is left to the caller."""
    return f"127.{random.randint(20, 250)}.{random.randint(1, 250)}."


def free_port(ip):
    """Finds a free port below those that the system gives to outgoing connections."""
    while True:
        port = random.randint(12_000, 30_000)
        with socket.socket() as s:
            try:
                s.bind((ip, port))
                return port
            except OSError:
                continue


class Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256
    allow_reuse_address = True

    def handle_error(self, request, client_address):
        """A peer that closes its connection is no error of a stand-in."""


class Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    wbufsize = -1

    def setup(self):
        super().setup()
        self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def log_message(self, *_):
        pass

    def body(self):
        if self.headers.get("Transfer-Encoding", "").lower() == "chunked":
            data = b""
            while size := int(self.rfile.readline().split(b";")[0], 16):
                data += self.rfile.read(size)
                self.rfile.readline()
            self.rfile.readline()
            return data
        return self.rfile.read(int(self.headers.get("Content-Length", 0)))

    def reply(self, status, body=b"", headers=None):
        self.send_response_only(status)
        for name, value in (headers or {}).items():
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)
        self.wfile.flush()


def serve(ip, port, handler):
    server = Server((ip, port), handler)
    threading.Thread(target=server.serve_forever, args=(0.05,), daemon=True).start()
    return server


class Store:
    """The platform's metadata store: keyed and plain topics with one partition each."""

    def __init__(self, ip):
        self.changed = threading.Condition()
        self.topics = {}
        store = self

        class StoreHandler(Handler):
            def do_GET(self):
                path, query = store.split(self.path)
                if path == "/v1/log-newest":
                    self.newest(query)
                elif path == "/v1/log-read":
                    self.read(query)
                else:
                    self.reply(404)

            def do_POST(self):
                path, query = store.split(self.path)
                data = self.body()
                if path != "/v1/log-append":
                    return self.reply(404)
                if query["topic"] in ("keyed.op", "keyed.servers"):
                    return self.reply(403)
                records = []
                while data:
                    size = struct.unpack(">I", data[:4])[0]
                    records.append(data[4 : 4 + size])
                    data = data[4 + size :]
                first, end = store.append(query["topic"], records)
                body = json.dumps({"offset": first, "endOffset": end}).encode()
                self.reply(200, body, {"Content-Type": "application/json"})

            def newest(self, query):
                with store.changed:
                    log = store.topics.setdefault(query["topic"], [])
                    newest = {}
                    for offset, record in enumerate(log):
                        key = record[1 : 1 + record[0]].decode()
                        newest[key] = (offset, record[1 + record[0] :])
                    items = [
                        {"key": k, "value": base64.b64encode(v).decode(), "offset": o}
                        for k, (o, v) in newest.items()
                        if v
                    ]
                    body = {"items": items, "more": False, "endOffset": len(log)}
                self.reply(200, json.dumps(body).encode(), {"Content-Type": "application/json"})

            def read(self, query):
                start = int(query["from"])
                deadline = time.monotonic() + int(query.get("waitMs", 0)) / 1000
                with store.changed:
                    log = store.topics.setdefault(query["topic"], [])
                    while len(log) <= start and (left := deadline - time.monotonic()) > 0:
                        store.changed.wait(left)
                    data = struct.pack(">qq", len(log), 0)
                    for record in log[start : start + 1024]:
                        data += struct.pack(">I", len(record)) + record
                self.reply(200, data)

        port = free_port(ip)
        self.address = f"{ip}:{port}"
        self.server = serve(ip, port, StoreHandler)

    @staticmethod
    def split(target):
        path, _, query = target.partition("?")
        return path, dict(part.split("=", 1) for part in query.split("&") if part)

    def append(self, topic, records):
        with self.changed:
            log = self.topics.setdefault(topic, [])
            first = len(log)
            log.extend(records)
            self.changed.notify_all()
            return first, len(log)

    def has_key(self, topic, key):
        with self.changed:
            return any(record[1 : 1 + record[0]] == key.encode() for record in self.topics.get(topic, []))

    def put(self, topic, key, value):
        data = b"" if value is None else json.dumps(value).encode()
        self.append(topic, [bytes([len(key)]) + key.encode() + data])

    def configure(self, version, services, routes, **fields):
        config = {
            "version": version,
            "routes": routes,
            "services": services,
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 4194304,
                "headerTimeoutMs": 5000,
                "idleTimeoutMs": 20000,
            },
            "tenants": [
                {
                    "name": TENANT,
                    "apiKeys": [KEY],
                    "priority": 2,
                    "unit": "token_stream",
                    "uncachedTokens": 200,
                    "ratePerS": 0,
                    "burst": 0,
                }
            ],
        }
        config.update(fields)
        self.put("keyed.op", "config", config)


def plain_service(name):
    return {"name": name, "healthPath": "/healthz", "maxConnections": 100, "protocol": "h1", "tls": False}


def route(name, kind, service, timeout_ms, attempts=1, **fields):
    return {
        "name": name,
        "host": ROUTE_HOST,
        "pathPrefix": f"/{name}/",
        "routeKind": kind,
        "timeoutMs": timeout_ms,
        "targetLatencyMs": 300,
        "priority": 2,
        "service": service,
        "maxAttempts": attempts,
        "public": False,
        **fields,
    }


class Worker:
    """A worker of a plain service, which registers in the store and runs requests for [work_s] each."""

    def __init__(self, store, record, ip, service, name, zone="dc-a", slots=6, work_s=0.06, answer=None):
        self.record, self.name, self.service, self.zone, self.slots = record, name, service, zone, slots
        self.work_s = work_s
        self.answer = answer or Worker.answer_well
        self.runs = []
        self.busy = threading.Semaphore(slots)
        self.queued = 0
        self.lock = threading.Lock()
        self.store = store
        self.state = "ready"
        self.sequence = 0
        worker = self

        class WorkerHandler(Handler):
            def do_GET(self):
                worker.handle(self)

            do_POST = do_PUT = do_DELETE = do_GET

        port = free_port(ip)
        self.address = f"{ip}:{port}"
        self.server = serve(ip, port, WorkerHandler)
        threading.Thread(target=self.beat, daemon=True).start()

    def beat(self):
        born = int(time.time() * 1000)
        while self.state:
            self.sequence += 1
            entry = {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": "v1",
                "slots": self.slots,
                "state": self.state,
                "coldRemainingMs": 0,
                "sequence": self.sequence,
                "born": born,
            }
            self.store.put("keyed.servers", self.name, entry)
            time.sleep(HEARTBEAT_S)

    def handle(self, exchange):
        attempt = exchange.headers.get("Anvilvalve-Attempt-Id", "-")
        if exchange.path == "/healthz":
            return exchange.reply(200, b"", {"Anvilvalve-Instance-Id": self.name})
        body = exchange.body()
        expected = exchange.headers.get("Anvilvalve-Expect-Instance")
        if expected not in (None, self.name):
            return exchange.reply(421, b"", {"Anvilvalve-Instance-Id": self.name})
        self.busy.acquire()
        try:
            with self.lock:
                self.runs.append((attempt, time.monotonic()))
            tenant = exchange.headers.get("Anvilvalve-Tenant")
            self.record.write(
                f"worker {self.name} runs {attempt} {exchange.command} {exchange.path} "
                f"({len(body)} bytes, tenant {tenant})"
            )
            time.sleep(self.work_s)
            self.answer(self, exchange, attempt)
        finally:
            self.busy.release()

    def signed(self, attempt):
        return {"Anvilvalve-Attempt-Id": attempt, "Anvilvalve-Response-Signature": f"{self.name}.{attempt}"}

    def answer_well(self, exchange, attempt):
        exchange.reply(200, f"done {attempt} by {self.name}".ljust(800).encode(), self.signed(attempt))


class Host:
    """One process of the daemon, started as the deploy file says with settings made from the template."""

    def __init__(self, store, ip, name, folder, zone="dc-a", **bounds):
        self.name, self.ip = name, ip
        self.frontend = f"{ip}:{free_port(ip)}"
        self.readiness = f"{ip}:{free_port(ip)}"
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["entry"]
        values = {
            "nodeName": name,
            "zone": zone,
            "region": "region-a",
            "ip": ip,
            "limits.cpuShare": 0.75,
            "limits.cores": 1,
            "platform.address": store.address,
            "listen.frontend": self.frontend,
            "listen.readiness": self.readiness,
            "internalPortRange.0": free_port(ip),
            "bounds.retryBudgetRatio": 0.2,
            "bounds.retryBudgetExtra": 54,
            "bounds.retryWindowS": 10,
            "bounds.quotaWindowS": 8,
            "bounds.quotaOvershoot": 0.1,
            "bounds.quotaSlack": 120000,
            "bounds.leaseMs": 3000,
            "bounds.graceS": 8,
        }
        values.update(bounds)
        template = (ROOT / deploy["template"]).read_text().split("[host]", 1)[1]
        self.settings = pathlib.Path(folder) / f"{name}.ini"
        self.settings.write_text(
            "[host]" + re.sub(r"\{\{(.*?)\}\}", lambda match: str(values[match.group(1)]), template)
        )
        self.command = deploy["run"].split()
        self.log = open(pathlib.Path(folder) / f"{name}.log", "ab")
        self.process = None
        self.start()

    def start(self):
        env = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "JAVA_HOME", "LANG")}
        env["ANVILVALVE_BOOT"] = str(self.settings)
        self.process = subprocess.Popen(self.command, cwd=ROOT, env=env, stdout=self.log, stderr=self.log)

    def ready(self):
        return status_of(self.readiness, "/v1/readyz") == 200

    def await_ready(self, limit_s=30):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if self.ready():
                return True
            time.sleep(0.1)
        return False

    def use_one_core(self):
        """Lets all threads of the process run on one core only, as the platform does."""
        core = max(os.sched_getaffinity(0))
        for task in pathlib.Path(f"/proc/{self.process.pid}/task").iterdir():
            os.sched_setaffinity(int(task.name), {core})

    def signal(self, number):
        self.process.send_signal(number)

    def close(self):
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()
        self.log.close()


def status_of(address, path, timeout=1.0):
    """Status of a GET, or None."""
    connection = http.client.HTTPConnection(address, timeout=timeout)
    try:
        connection.request("GET", path)
        return connection.getresponse().status
    except OSError:
        return None
    finally:
        connection.close()


class Reply:
    def __init__(self, status=None, headers=None, body=b"", error=None):
        self.status, self.headers, self.body, self.error = status, headers or {}, body, error

    def __str__(self):
        return f"status {self.status}, {len(self.body)} bytes" if self.status else f"no answer: {self.error}"


def send(record, address, method, path, attempt, body=b"", deadline_ms=4000, headers=None, timeout_s=None):
    """Sends a client's request on a new connection and waits for its answer until the deadline."""
    head = {
        "Host": ROUTE_HOST,
        "Anvilvalve-Attempt-Id": attempt,
        "Anvilvalve-Deadline-Ms": str(deadline_ms),
        "Authorization": f"Bearer {KEY}",
        **(headers or {}),
    }
    connection = http.client.HTTPConnection(address, timeout=timeout_s or deadline_ms / 1000)
    record.write(f"client sends {attempt} {method} {path} ({len(body)} bytes)")
    try:
        connection.request(method, path, body=body or None, headers=head)
        response = connection.getresponse()
        reply = Reply(response.status, dict(response.getheaders()), response.read())
    except (OSError, http.client.HTTPException) as e:
        reply = Reply(error=f"{type(e).__name__}: {e}")
    finally:
        connection.close()
    record.write(f"client gets {attempt} {reply}")
    return reply


def run(folder, case):
    """Runs [case] with a record and a temporary folder; exits with 1 if it returns False, 2 if it could not run."""
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    temporary = tempfile.mkdtemp(prefix="review-")
    hosts = []
    code = 2
    try:
        held = case(record, temporary, hosts, trouble)
        code = {True: 0, False: 1, None: 2}[held]
    except Exception as e:  # a case that cannot run must say so
        record.write(f"the case could not run: {type(e).__name__}: {e}")
    finally:
        for host in hosts:
            host.close()
        shutil.rmtree(temporary, ignore_errors=True)
    record.write(f"exit {code}")
    os._exit(code)
