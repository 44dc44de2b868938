import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Another writer adds an entry of bytes that cannot be read; later a worker reports that it leaves. */
public final class UnreadableEntryCase extends Case {
    private static final int HOSTS = 2;
    private static final int CALLERS = 16;
    private static final long CALM_MILLIS = 6_000;
    private static final long DRAIN_MILLIS = 2_000;
    private static final long RUN_MILLIS = 15_000;

    /** Not the bytes of any text in UTF-8. */
    private static final byte[] KEY = {'i', '-', (byte) 0xfe, (byte) 0x9c};

    private final Map<String, Long> sentAt = new ConcurrentHashMap<>();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger late = new AtomicInteger();
    private volatile long leftAt = Long.MAX_VALUE;

    public static void main(String[] args) {
        main(new UnreadableEntryCase(), args);
    }

    @Override
    int run() throws Exception {
        Store store = new Store(net + "1");
        store.put("keyed.op", "config", Desk.configuration(1, "unsafe", 2_000, 1));
        List<Worker> workers = Desk.start(store, net, 4, (worker, request, out) -> {
            if (worker.id.equals("i-0")) arrivedAtLeaving(request.field("Anvilvalve-Attempt-Id"));
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
            return observe(store, workers.get(0), hosts);
        } finally {
            for (Host host : hosts) host.close();
        }
    }

    private int observe(Store store, Worker leaving, List<Host> hosts) throws Exception {
        long end = System.nanoTime() + (CALM_MILLIS + RUN_MILLIS) * 1_000_000;
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            Host host = hosts.get(i % HOSTS);
            callers.add(Threads.start("caller-" + i, () -> call(host, end)));
        }
        Threads.sleep(CALM_MILLIS);
        if (trouble) {
            store.put("keyed.servers", KEY, "unreadable".getBytes());
            journal.write("another writer has added an entry");
        }
        Threads.sleep(1_000);
        leaving.leave();
        leftAt = System.nanoTime();
        journal.write("the store has accepted that " + leaving.id + " is draining");
        for (Thread caller : callers) caller.join();
        for (Host host : hosts) {
            for (String line : host.logLines("malformed answer").stream().limit(2).toList()) journal.write("log: " + line);
        }
        journal.write("served " + served + "; requests that reached " + leaving.id + " later than " + DRAIN_MILLIS
            + " ms after it was draining: " + late);
        return late.get() > 0 ? BROKEN : HELD;
    }

    private void arrivedAtLeaving(String attempt) {
        long bound = leftAt + DRAIN_MILLIS * 1_000_000;
        if (leftAt == Long.MAX_VALUE || System.nanoTime() < bound) return;
        late.incrementAndGet();
        journal.write(attempt + " reaches the worker that leaves, " + (System.nanoTime() - leftAt) / 1_000_000
            + " ms after the acknowledgement; sent " + (System.nanoTime() - sentAt.get(attempt)) / 1_000_000 + " ms ago");
    }

    private void call(Host host, long end) {
        Caller caller = new Caller(host.ip(), host.frontend());
        while (System.nanoTime() < end) {
            String attempt = UUID.randomUUID().toString().substring(0, 18);
            sentAt.put(attempt, System.nanoTime());
            var result = caller.ask("POST", Desk.PATH, Desk.HOST, attempt, Desk.KEY, new byte[600], 4_000);
            if (result.isSuccess()) served.incrementAndGet();
            else journal.write(attempt + ": " + result.text() + " after " + result.millis() + " ms");
        }
    }
}
