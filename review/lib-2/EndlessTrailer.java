import java.io.IOException;
import java.io.OutputStream;
import java.net.SocketTimeoutException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;

/**
 * Two of seventeen workers, an engine and one of a plain service, fail four in ten of their requests for 6 s, again and
 * again: behind the last chunk of the answer, trailer lines follow without end.
 */
public final class EndlessTrailer {
    private static final int HOSTS = 2;
    private static final int PLAIN_WORKERS = 7;
    private static final int PREFILL_ENGINES = 3;
    private static final int DECODE_ENGINES = 7;
    private static final int CALLERS_PER_HOST = 16;
    private static final int STREAMS_PER_HOST = 12;
    private static final int EVENTS = 10;
    private static final long EPISODE_MS = 6_000;
    private static final long CALM_MS = 2_000;
    private static final byte[] TRAILER = "X-Rest: 0123456789abcdef\r\n".repeat(500).getBytes();

    /** Pause between 13 KB of trailer: about 6 MB a second, and 1 MB a second for an engine. */
    private static final long PLAIN_PAUSE_MS = 2;
    private static final long ENGINE_PAUSE_MS = 12;
    private static final String USAGE = "Anvilvalve-Token-Usage: 5200,5390\r\n";

    private static final int RUN_SECONDS = 95;

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
        Map<String, String> ranAt = new ConcurrentHashMap<>();
        AtomicInteger answers = new AtomicInteger();
        AtomicInteger spoilt = new AtomicInteger();
        BooleanSupplier fails = () -> trouble && record.now() % (EPISODE_MS + CALM_MS) < EPISODE_MS
            && answers.incrementAndGet() % 5 < 2;
        Worker.Answer plain = (request, worker, socket, out) -> {
            String id = request.head.get("anvilvalve-attempt-id");
            ranAt.put(id, worker.id);
            boolean isSpoilt = worker.id.equals("w0") && fails.getAsBoolean();
            record.line(worker.id + " runs " + (isSpoilt ? "and spoils " : "") + id);
            Thread.sleep(85);
            if (!isSpoilt) {
                Worker.write(out, worker.head(request, "Content-Length: 800\r\n") + "x".repeat(800));
                return true;
            }
            spoilt.incrementAndGet();
            Worker.write(out, worker.head(request, "Transfer-Encoding: chunked\r\n") + "320\r\n" + "x".repeat(800)
                + "\r\n0\r\n");
            return sendTrailer(record, worker, out, PLAIN_PAUSE_MS);
        };
        Worker.Answer engine = (request, worker, socket, out) -> {
            String id = request.head.get("anvilvalve-attempt-id");
            if ("prefill".equals(request.head.get("anvilvalve-serving-stage"))) {
                Thread.sleep(100);
                String body = "{\"kvHandle\":\"" + id + "\",\"tokens\":5200,\"version\":1}";
                Worker.write(out, worker.head(request, "Content-Type: application/json\r\nContent-Length: "
                    + body.length() + "\r\n") + body);
                return true;
            }
            ranAt.put(id, worker.id);
            boolean isFailing = worker.id.equals("e0") && fails.getAsBoolean();
            record.line(worker.id + " runs " + (isFailing ? "and spoils " : "") + id);
            Worker.write(out, worker.head(request, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"));
            for (int i = 1; i <= EVENTS; i++) {
                String event = "id: " + i + "\ndata: " + "x".repeat(320) + "\n\n";
                Worker.write(out, Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
                Thread.sleep(80);
            }
            if (!isFailing) {
                Worker.write(out, "0\r\n\r\n");
                return true;
            }
            spoilt.incrementAndGet();
            Worker.write(out, "0\r\n");
            return sendTrailer(record, worker, out, ENGINE_PAUSE_MS);
        };
        store.put("keyed.op", "config", Configurations.small(1));
        for (int i = 0; i < PLAIN_WORKERS; i++) new Worker(store, "w" + i, "drawer-desk", null, 6, plain);
        for (int i = 0; i < DECODE_ENGINES; i++) new Worker(store, "e" + i, "map-reader", "decode", 48, engine);
        for (int i = 0; i < PREFILL_ENGINES; i++) new Worker(store, "p" + i, "map-reader", "prefill", 48, engine);
        List<Host> hosts = new ArrayList<>();
        int[] ends = new int[HOSTS];
        long[] upSince = new long[HOSTS];
        try {
            for (int i = 0; i < HOSTS; i++) hosts.add(new Host(root, folder, store, "edge-" + i));
            for (Host h : hosts) if (!h.awaitReady(30)) {
                record.say("a host did not become ready");
                return 2;
            }
            for (int i = 0; i < HOSTS; i++) upSince[i] = record.now();
            Thread.sleep(3_500);
            Set<String> cut = ConcurrentHashMap.newKeySet();
            AtomicInteger served = new AtomicInteger();
            AtomicInteger other = new AtomicInteger();
            AtomicInteger next = new AtomicInteger();
            long end = System.currentTimeMillis() + RUN_SECONDS * 1_000L;
            for (int h = 0; h < HOSTS; h++) for (int c = 0; c < CALLERS_PER_HOST + STREAMS_PER_HOST; c++) {
                String address = hosts.get(h).callers;
                int host = h;
                boolean streams = c < STREAMS_PER_HOST;
                Thread t = new Thread(() -> client(record, address, host, streams, end, next, cut, served, other));
                t.setDaemon(true);
                t.start();
            }
            while (System.currentTimeMillis() < end) {
                for (int i = 0; i < HOSTS; i++) {
                    if (hosts.get(i).isAlive()) continue;
                    ends[i]++;
                    record.line("edge-" + i + " ended by itself with status " + hosts.get(i).exit());
                    // The platform starts a process that exits again, after a short delay.
                    Thread.sleep(500);
                    hosts.get(i).restart();
                }
                Thread.sleep(50);
            }
            Thread.sleep(1_000);
            long lost = cut.stream().filter(id -> ranAt.containsKey(id) && !ranAt.get(id).endsWith("0")).count();
            cut.stream().filter(ranAt::containsKey).forEach(id -> record.line("lost: " + id + " ran at " + ranAt.get(id)
                + ", and its kept connection was closed without a complete answer"));
            record.say("answers spoilt: " + spoilt + "; processes that ended by themselves: edge-0 " + ends[0]
                + ", edge-1 " + ends[1] + "; requests served " + served + ", not served " + other
                + "; requests of kept connections that sound workers ran and that got no complete answer before the connection was "
                + "closed: " + lost);
            if (spoilt.get() == 0 && trouble) return 2;
            return lost > 3 || ends[0] + ends[1] > 0 ? 1 : 0;
        } finally {
            hosts.forEach(Host::close);
        }
    }

    private static boolean sendTrailer(Record record, Worker worker, OutputStream out, long pauseMs)
        throws InterruptedException {
        long sent = 0;
        try {
            while (true) {
                out.write(TRAILER);
                sent += TRAILER.length;
                Thread.sleep(pauseMs);
            }
        } catch (IOException e) {
            record.line(worker.id + " had sent " + sent + " bytes of trailer when the host closed the connection");
            return false;
        }
    }

    private static void client(Record record, String address, int host, boolean streams, long end, AtomicInteger next,
        Set<String> cut, AtomicInteger served, AtomicInteger other) {
        while (System.currentTimeMillis() < end) {
            try (Http.Kept kept = new Http.Kept(address, 16_000)) {
                while (System.currentTimeMillis() < end) {
                    String id = "r" + next.incrementAndGet();
                    int before = kept.answered;
                    record.line("client sends " + id + " to edge-" + host + (before > 0 ? " on a kept connection" : ""));
                    String closed = null;
                    try {
                        Http.Message m = kept.exchange(streams
                            ? Configurations.request("POST", "/sum/7", id, 14_000, 10, USAGE) + "0123456789"
                            : Configurations.request("POST", "/loan/7", id, 4_000, 10, "") + "0123456789");
                        record.line("client gets for " + id + ": " + m.start + (m.complete ? "" : ", cut"));
                        if (m.complete && m.status() == 200) served.incrementAndGet();
                        else other.incrementAndGet();
                        if (!m.complete) closed = "cut";
                        else if ("close".equalsIgnoreCase(m.head.get("connection"))) break;
                    } catch (SocketTimeoutException e) {
                        // The host has kept the connection open.
                        other.incrementAndGet();
                        break;
                    } catch (IOException e) {
                        closed = e.toString();
                        other.incrementAndGet();
                    }
                    if (closed != null) {
                        record.line("client finds the connection of " + id + " closed: " + closed);
                        if (before > 0) cut.add(id);
                        break;
                    }
                }
            } catch (IOException e) {
                sleep(200);
            }
        }
    }

    private static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
