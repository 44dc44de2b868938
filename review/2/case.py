"""Workers lose a few bytes between two chunks of some answers: does a caller get a success with a part of the body?"""

import pathlib
import sys
import threading
import time
from collections import Counter

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
import standins as s

FOLDER = pathlib.Path(__file__).resolve().parent
WORKERS = 4
GARBLING_WORKERS = 2
GARBLED_SHARE = 0.02
CALLERS = 16
REQUESTS = 1600
CHUNK = 200


def case(record, temporary, hosts, trouble):
    net = s.loopback()
    store = s.Store(net + "1")
    bodies = {}
    garbled = set()
    counts = Counter()
    lock = threading.Lock()

    def answer_in_chunks(worker, exchange, attempt):
        body = f"shelf list for {attempt} from {worker.name}: ".encode().ljust(800, b"0123456789"[:1])
        body = body[:400] + bytes(b"abcdefghij"[i % 10] for i in range(400))
        bodies[attempt] = body
        with lock:
            counts[worker.name] += 1
            every = int(1 / GARBLED_SHARE)
            spoil = trouble and worker.name in spoilers and counts[worker.name] % every == every - 1
        exchange.send_response_only(200)
        for name, value in worker.signed(attempt).items():
            exchange.send_header(name, value)
        exchange.send_header("Content-Type", "application/json")
        exchange.send_header("Transfer-Encoding", "chunked")
        exchange.end_headers()
        data = b""
        for start in range(0, len(body), CHUNK):
            # A faulty worker loses the end of the second chunk and the size of the third.
            lost = spoil and start == 2 * CHUNK
            data = data[:-2] if lost else data + b"%x\r\n" % CHUNK
            data += body[start : start + CHUNK] + b"\r\n"
        if spoil:
            garbled.add(attempt)
            record.write(f"worker {worker.name} loses 6 bytes between two chunks of its answer to {attempt}")
        exchange.wfile.write(data + b"0\r\n\r\n")
        exchange.wfile.flush()

    spoilers = [f"i-desk{i}" for i in range(GARBLING_WORKERS)]
    for i in range(WORKERS):
        s.Worker(store, record, f"{net}{10 + i}", "desk", f"i-desk{i}", answer=answer_in_chunks, work_s=0.02)
    store.configure(7, [s.plain_service("desk")], [s.route("shelf", "safe", "desk", 2000, 2)])
    host = s.Host(store, net + "2", "edge-1", temporary)
    hosts.append(host)
    if not host.await_ready():
        record.write("the host did not become ready")
        return None

    statuses = Counter()
    wrong = []

    def caller(first):
        for number in range(first, REQUESTS, CALLERS):
            attempt = f"shelf-{number}"
            reply = s.send(record, host.frontend, "GET", "/shelf/7", attempt)
            statuses[reply.status] += 1
            if reply.status == 200 and reply.body != bodies.get(attempt):
                wrong.append(attempt)
                record.write(
                    f"{attempt} is answered with success and {len(reply.body)} bytes; "
                    f"its worker's body has {len(bodies[attempt])}"
                )

    callers = [threading.Thread(target=caller, args=(i,)) for i in range(CALLERS)]
    for thread in callers:
        thread.start()
    for thread in callers:
        thread.join()
    record.write(f"requests sent: {REQUESTS}, answers by status: {dict(statuses)}, answers garbled: {len(garbled)}")
    record.write(f"successes with another body than the worker's: {len(wrong)} {sorted(wrong)}")
    if statuses[200] < REQUESTS / 2 or (trouble and not garbled):
        return None
    return not wrong


s.run(FOLDER, case)
