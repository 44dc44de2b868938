import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Configurations in quick succession withdraw a tenant and put it back; then the tenant sends many times its usual. */
public final class QuotaCase extends Case {
    private static final int HOSTS = 7;
    private static final int REQUEST_TOKENS = 5_070;
    private static final double RATE = 21_600;
    private static final double BURST = 40_000;
    private static final double WINDOW_S = 8;
    private static final double LIMIT = (RATE * WINDOW_S + BURST) * 1.1 + 120_000;
    private static final long STEADY_MILLIS = 75_000;
    private static final long FLOOD_MILLIS = 6_500;

    /** Time between two versions of the configuration, and the number of versions. */
    private static final long STORM_GAP_MILLIS = 220;
    private static final int STORM_VERSIONS = 19;

    private record Run(long sentAt, long arrivedAt) {}

    private final Map<String, Long> sent = new ConcurrentHashMap<>();
    private final Map<String, Run> runs = new ConcurrentHashMap<>();
    private final AtomicInteger refused = new AtomicInteger();

    public static void main(String[] args) {
        main(new QuotaCase(), args);
    }

    @Override
    int run() throws Exception {
        Store store = new Store(net + "1");
        store.put("keyed.op", "config", configuration(1, true));
        Engine engine = new Engine(1, 30, (worker, request) -> {
            String attempt = request.field("Anvilvalve-Attempt-Id");
            if ("t1".equals(request.field("Anvilvalve-Tenant"))) {
                runs.putIfAbsent(attempt, new Run(sent.get(attempt), System.nanoTime()));
                journal.write(worker.id + " runs " + attempt);
            }
        });
        for (int i = 0; i < 3; i++) {
            new Worker(store, net + (10 + i), "i-" + i, "reader", "tacoma", 48, i == 0 ? "prefill" : "decode", engine);
        }
        List<Host> hosts = new ArrayList<>();
        try {
            for (int i = 0; i < HOSTS; i++) {
                hosts.add(new Host(root, work, "edge-" + i, net + (30 + i), "tacoma", store.address()));
                hosts.get(i).start();
            }
            for (Host host : hosts) if (!host.awaitReady(30_000)) return NOT_RUN;
            journal.write("hosts ready");
            return observe(store, hosts);
        } finally {
            hosts.forEach(Host::close);
        }
    }

    private int observe(Store store, List<Host> hosts) {
        // The tenant stays within its limit: 3.9 requests a second.
        send(hosts, STEADY_MILLIS, 256);
        journal.write("steady: ran " + runs.size() + ", refused " + refused);
        if (runs.size() < 100) return NOT_RUN;
        if (trouble) {
            for (int i = 0; i < STORM_VERSIONS; i++) {
                boolean isWithdrawn = i == 10;
                store.put("keyed.op", "config", configuration(2 + i, !isWithdrawn));
                journal.write("configuration " + (2 + i) + (isWithdrawn ? " without t1" : " with t1"));
                Threads.sleep(STORM_GAP_MILLIS);
            }
        } else {
            Threads.sleep(STORM_VERSIONS * STORM_GAP_MILLIS);
        }
        journal.write("the tenant sends 7.5 times its usual");
        // The usual is the rate of the quota / 1.8.
        long gap = (long) (1_000 / (RATE / 1.8 * 7.5 / REQUEST_TOKENS));
        send(hosts, FLOOD_MILLIS, gap);
        Threads.sleep(3_000);
        double most = mostInWindow(runs.values());
        journal.write("ran " + runs.size() + ", refused " + refused + "; most tokens that were sent and ran in " + WINDOW_S
            + " s: " + (long) most + ", limit " + (long) LIMIT);
        return most > LIMIT ? BROKEN : HELD;
    }

    private void send(List<Host> hosts, long millis, long gapMillis) {
        long start = System.nanoTime();
        for (int i = 0; i * gapMillis < millis; i++) {
            long left = i * gapMillis - (System.nanoTime() - start) / 1_000_000;
            if (left > 0) Threads.sleep(left);
            Host host = hosts.get(i % hosts.size());
            Threads.start("caller", () -> {
                String attempt = UUID.randomUUID().toString().substring(0, 18);
                sent.put(attempt, System.nanoTime());
                try (Caller caller = new Caller(host.ip(), host.frontend())) {
                    var result = caller.ask("POST", "/read/1", "reader.example", attempt,
                        "Authorization: Bearer key-1\r\nAnvilvalve-Model: m\r\nAnvilvalve-Token-Usage: 5000,70\r\n"
                            + "Anvilvalve-Prefix-Hash: " + attempt.replace("-", "") + ":5000\r\n", new byte[5_000], 14_000);
                    if (!result.isSuccess()) {
                        refused.incrementAndGet();
                        journal.write(attempt + ": " + result.text());
                    }
                }
            });
        }
    }

    /** The most tokens of requests that were both sent and arrived within one window. */
    private static double mostInWindow(Collection<Run> runs) {
        double most = 0;
        long window = (long) (WINDOW_S * 1e9);
        for (Run first : runs) {
            long start = first.sentAt();
            long count = runs.stream().filter(it -> it.sentAt() >= start && it.arrivedAt() <= start + window).count();
            most = Math.max(most, count * (double) REQUEST_TOKENS);
        }
        return most;
    }

    private static String configuration(int version, boolean hasTenant) {
        String tenant = "{\"name\":\"t1\",\"apiKeys\":[\"key-1\"],\"unit\":\"token_stream\",\"uncachedTokens\":200,"
            + "\"ratePerS\":" + RATE + ",\"burst\":" + BURST + "},";
        return "{\"version\":" + version + ",\"routes\":[{\"name\":\"read\",\"host\":\"reader.example\","
            + "\"pathPrefix\":\"/read/\",\"routeKind\":\"streaming\",\"timeoutMs\":14000,\"targetLatencyMs\":900,"
            + "\"targetGapMs\":300,\"priority\":1,\"service\":\"reader\",\"maxAttempts\":1,\"sticky\":true}],"
            + "\"services\":[{\"name\":\"reader\",\"maxConnections\":300,\"healthPath\":\"/healthz\",\"engine\":"
            + "{\"slots\":48,\"kvCapacity\":76160,\"kvRetentionS\":0.5,\"stride\":77,\"switchS\":6.0}}],"
            + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
            + "\"idleTimeoutMs\":20000},\"tenants\":[" + (hasTenant ? tenant : "")
            + "{\"name\":\"t2\",\"apiKeys\":[\"key-2\"],\"unit\":\"token_stream\",\"uncachedTokens\":200,\"ratePerS\":"
            + RATE + ",\"burst\":" + BURST + "}]}";
    }
}
