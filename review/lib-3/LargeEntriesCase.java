import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Another writer adds some large entries that cannot be read to the directory of a fleet with coordinators. */
public final class LargeEntriesCase extends Case {
    /** One more than the largest fleet without coordinators. */
    private static final int HOSTS = 13;
    private static final int ENTRIES = 5;

    /** Below `recordBytes`, which is 262,144. */
    private static final int ENTRY_BYTES = 250_000;
    private static final long CALM_MILLIS = 8_000;

    /** The `configApplyMs` of the deployments with more than 12 machines. */
    private static final long APPLY_MILLIS = 4_000;
    private static final long JUDGED_MILLIS = 10_000;

    private final Map<String, String> runs = new ConcurrentHashMap<>();
    private final Map<String, Integer> lateByHost = new ConcurrentHashMap<>();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger judged = new AtomicInteger();
    private volatile long withdrawnAt = Long.MAX_VALUE;

    public static void main(String[] args) {
        main(new LargeEntriesCase(), args);
    }

    @Override
    int run() throws Exception {
        Store store = new Store(net + "1");
        store.put("keyed.op", "config", Desk.configuration(1, "unsafe", 2_000, 1));
        Desk.start(store, net, 4, (worker, request, out) -> {
            runs.put(request.field("Anvilvalve-Attempt-Id"), worker.id);
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
            for (Host host : hosts) if (!host.awaitReady(40_000)) return NOT_RUN;
            journal.write("hosts ready");
            return observe(store, hosts);
        } finally {
            for (Host host : hosts) host.close();
        }
    }

    private int observe(Store store, List<Host> hosts) {
        Threads.sleep(CALM_MILLIS);
        for (int i = 0; i < ENTRIES; i++) {
            byte[] value = new byte[ENTRY_BYTES];
            Arrays.fill(value, (byte) 0xfe);
            if (trouble) {
                store.put("keyed.servers", ("f-" + i).getBytes(), value);
                journal.write("another writer has added an entry of " + ENTRY_BYTES + " bytes");
            }
            Threads.sleep(700);
        }
        Threads.sleep(2_000);
        List<Thread> callers = new ArrayList<>();
        long end = System.nanoTime() + (2_000 + APPLY_MILLIS + JUDGED_MILLIS) * 1_000_000;
        for (int i = 0; i < HOSTS; i++) {
            String name = "edge-" + i;
            Host host = hosts.get(i);
            callers.add(Threads.start("caller-" + i, () -> call(name, host, end)));
        }
        Threads.sleep(2_000);
        int servedBefore = served.get();
        store.put("keyed.op", "config", Desk.configuration(2, "unsafe", 2_000, 1).replace("key-1", "key-2"));
        withdrawnAt = System.nanoTime();
        journal.write("the store has accepted version 2, which withdraws the key; served before: " + servedBefore);
        for (Thread caller : callers) join(caller);
        int late = lateByHost.values().stream().mapToInt(it -> it).sum();
        journal.write("requests with the withdrawn key that were sent later than " + APPLY_MILLIS
            + " ms after the acknowledgement: " + judged + ", run by a worker: " + late + ", at " + lateByHost.size()
            + " of " + HOSTS + " hosts " + lateByHost);
        return servedBefore == 0 ? NOT_RUN : late > 0 ? BROKEN : HELD;
    }

    private void call(String name, Host host, long end) {
        Caller caller = new Caller(host.ip(), host.frontend());
        while (System.nanoTime() < end) {
            String attempt = UUID.randomUUID().toString().substring(0, 18);
            long sentAt = System.nanoTime();
            var result = caller.ask("POST", Desk.PATH, Desk.HOST, attempt, Desk.KEY, new byte[600], 4_000);
            if (result.isSuccess()) served.incrementAndGet();
            if (withdrawnAt != Long.MAX_VALUE && sentAt > withdrawnAt + APPLY_MILLIS * 1_000_000) {
                judged.incrementAndGet();
                if (runs.containsKey(attempt)) {
                    lateByHost.merge(name, 1, Integer::sum);
                    journal.write(attempt + " with the withdrawn key runs at " + runs.get(attempt) + ", "
                        + (sentAt - withdrawnAt) / 1_000_000 + " ms after the acknowledgement");
                }
            }
            Threads.sleep(300);
        }
    }

    private static void join(Thread thread) {
        try {
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
