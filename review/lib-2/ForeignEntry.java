import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An entry from another writer lies among those of the workers; its bytes are no text. Later one of four workers reports
 * that it is draining, serves for its time and a little longer, and exits.
 */
public final class ForeignEntry {
    private static final int HOSTS = 2;
    private static final int CALLERS_PER_HOST = 4;
    private static final long DRAIN_MS = 2_000;
    private static final long LONGER_MS = 2_000;
    private static final long WORK_MS = 85;

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path root = Path.of(arguments[0]).toAbsolutePath().normalize();
        Path folder = Files.createTempDirectory("review");
        int result = 2;
        try (Record record = new Record(Path.of(arguments[1])); Store store = new Store()) {
            result = run(trouble, root, folder, record, store);
        } finally {
            System.exit(result);
        }
    }

    private static int run(boolean trouble, Path root, Path folder, Record record, Store store) throws Exception {
        Map<String, Long> arrivedAtLeaving = new ConcurrentHashMap<>();
        Worker.Answer answer = (request, worker, socket, out) -> {
            String id = request.head.get("anvilvalve-attempt-id");
            record.line(worker.id + " runs " + id);
            if (worker.id.equals("w0")) arrivedAtLeaving.put(id, record.now());
            Thread.sleep(WORK_MS);
            Worker.write(out, worker.head(request, "Content-Length: 800\r\n") + "x".repeat(800));
            return true;
        };
        store.put("keyed.op", "config", Configurations.small(1));
        List<Worker> workers = new ArrayList<>();
        for (int i = 0; i < 4; i++) workers.add(new Worker(store, "w" + i, "drawer-desk", null, 6, answer));
        List<Host> hosts = new ArrayList<>();
        try {
            for (int i = 0; i < HOSTS; i++) hosts.add(new Host(root, folder, store, "edge-" + i));
            for (Host h : hosts) if (!h.awaitReady(30)) {
                record.say("a host did not become ready");
                return 2;
            }
            // From now on the hosts have run for longer than stableWindowMs.
            Thread.sleep(4_000);
            AtomicInteger next = new AtomicInteger();
            AtomicInteger served = new AtomicInteger();
            Map<String, Long> sentAt = new ConcurrentHashMap<>();
            Map<String, String> failed = new ConcurrentHashMap<>();
            long end = System.currentTimeMillis() + 15_000;
            for (Host h : hosts) for (int c = 0; c < CALLERS_PER_HOST; c++) {
                Thread t = new Thread(() -> call(record, h.callers, end, next, served, sentAt, failed));
                t.setDaemon(true);
                t.start();
            }
            Thread.sleep(3_000);
            if (trouble) {
                byte[] key = {'s', 'r', 'v', (byte) 0xc3, (byte) 0x28, (byte) 0xff};
                store.put("keyed.servers", key, "no entry of a worker".getBytes(StandardCharsets.UTF_8));
                record.line("another writer has put an entry into keyed.servers whose key is srv C3 28 FF");
            }
            Thread.sleep(2_000);
            workers.get(0).drain();
            long acknowledgedAt = record.now();
            record.line("the store has acknowledged that w0 is draining");
            Thread.sleep(DRAIN_MS + LONGER_MS);
            workers.get(0).close();
            long exitedAt = record.now();
            record.line("w0 has exited");
            Thread.sleep(3_000);
            long late = arrivedAtLeaving.entrySet().stream()
                .filter(e -> e.getValue() > acknowledgedAt + DRAIN_MS && sentAt.get(e.getKey()) > acknowledgedAt).count();
            long lost = failed.keySet().stream()
                .filter(id -> arrivedAtLeaving.containsKey(id) && arrivedAtLeaving.get(id) > acknowledgedAt + DRAIN_MS).count();
            failed.forEach((id, how) -> record.line("failed: " + id + ", " + how
                + (arrivedAtLeaving.containsKey(id) ? ", ran at w0 from " + arrivedAtLeaving.get(id) : "")));
            record.say("requests that reached w0 later than drainMs after the acknowledgement (" + acknowledgedAt
                + " ms): " + late + "; of these, loans that w0 ran and whose answer was lost when it exited (" + exitedAt
                + " ms): " + lost + "; requests served " + served + ", failed " + failed.size());
            return late > 0 ? 1 : 0;
        } finally {
            hosts.forEach(Host::close);
        }
    }

    private static void call(Record record, String address, long end, AtomicInteger next, AtomicInteger served,
        Map<String, Long> sentAt, Map<String, String> failed) {
        while (System.currentTimeMillis() < end) {
            String id = "r" + next.incrementAndGet();
            sentAt.put(id, record.now());
            record.line("client sends loan " + id);
            Http.Message m = Http.exchange(address,
                Configurations.request("POST", "/loan/7", id, 4_000, 10, "Connection: close\r\n") + "0123456789",
                new byte[0], 6_000);
            record.line("client gets for " + id + ": " + m.start);
            if (m.complete && m.status() == 200) served.incrementAndGet();
            else failed.put(id, m.start);
        }
    }
}
