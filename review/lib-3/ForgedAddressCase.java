import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.atomic.AtomicInteger;

/** Another writer adds an entry whose address has a port that does not exist. */
public final class ForgedAddressCase extends Case {
    private static final int HOSTS = 2;
    private static final int CALLERS = 8;
    private static final long CALM_MILLIS = 6_000;
    private static final long RUN_MILLIS = 25_000;

    /** Share of the requests that may be refused or fail. */
    private static final double ALLOWED = 0.6;

    private final AtomicInteger sent = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();

    public static void main(String[] args) {
        main(new ForgedAddressCase(), args);
    }

    @Override
    int run() throws Exception {
        Store store = new Store(net + "1");
        store.put("keyed.op", "config", Desk.configuration(1, "unsafe", 2_000, 1));
        Desk.start(store, net, 4, (worker, request, out) -> {
            Threads.sleep(85);
            Worker.sendWhole(worker, request, out, new byte[800]);
            return true;
        });
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
            for (Host host : hosts) host.close();
        }
    }

    private int observe(Store store, List<Host> hosts) throws Exception {
        long end = System.nanoTime() + (CALM_MILLIS + RUN_MILLIS) * 1_000_000;
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            Host host = hosts.get(i % HOSTS);
            callers.add(Threads.start("caller-" + i, () -> call(host, end)));
        }
        Threads.sleep(CALM_MILLIS);
        journal.write("before the entry: sent " + sent + ", served " + served);
        if (trouble) {
            store.put("keyed.servers", "i-f", "{\"service\":\"desk\",\"address\":\"" + net
                + "99:99999\",\"zone\":\"tacoma\",\"version\":1,\"slots\":6,\"state\":\"ready\",\"coldRemainingMs\":0,"
                + "\"sequence\":1,\"born\":" + System.currentTimeMillis() + "}");
            journal.write("another writer has added an entry");
        }
        for (Thread caller : callers) caller.join();
        double lost = (sent.get() - served.get()) / (double) sent.get();
        journal.write("in all: sent " + sent + ", served " + served + String.format(", refused or failed %.2f", lost));
        return lost > ALLOWED ? BROKEN : HELD;
    }

    private void call(Host host, long end) {
        Caller caller = new Caller(host.ip(), host.frontend());
        while (System.nanoTime() < end) {
            String attempt = UUID.randomUUID().toString().substring(0, 18);
            var result = caller.ask("POST", Desk.PATH, Desk.HOST, attempt, Desk.KEY, new byte[600], 4_000);
            sent.incrementAndGet();
            if (result.isSuccess()) {
                served.incrementAndGet();
            } else {
                journal.write(attempt + ": " + result.text() + " after " + result.millis() + " ms");
                Threads.sleep(100);
            }
        }
    }
}
