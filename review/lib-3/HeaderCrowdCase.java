import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.atomic.AtomicInteger;

/** A crowd of clients stops half-way in headers of many short fields, beside ordinary callers. */
public final class HeaderCrowdCase extends Case {
    private static final int CLIENTS = 2_300;
    private static final int CALLERS = 24;
    private static final int TIMEOUT_MILLIS = 2_000;

    /** Times since the host was ready; it is in touch when the crowd comes. */
    private static final long CROWD_FROM_MILLIS = 6_000;
    private static final long CROWD_UNTIL_MILLIS = 20_000;

    /** From 5 s after the crowd on, nothing counts as slowed by it. */
    private static final long JUDGED_FROM_MILLIS = CROWD_UNTIL_MILLIS + 5_500;
    private static final long RUN_MILLIS = 40_000;

    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger failed = new AtomicInteger();
    private final AtomicInteger judged = new AtomicInteger();
    private final AtomicInteger servedLater = new AtomicInteger();
    private final AtomicInteger overdue = new AtomicInteger();
    private final AtomicInteger unanswered = new AtomicInteger();

    public static void main(String[] args) {
        main(new HeaderCrowdCase(), args);
    }

    @Override
    int run() throws Exception {
        Store store = new Store(net + "1");
        store.put("keyed.op", "config", Desk.configuration(1, "unsafe", TIMEOUT_MILLIS, 1));
        Desk.start(store, net, 4, (worker, request, out) -> {
            Threads.sleep(85);
            Worker.sendWhole(worker, request, out, new byte[800]);
            return true;
        });
        try (Host host = new Host(root, work, "edge-1", net + "2", "tacoma", store.address())) {
            host.start();
            if (!host.awaitReady(20_000)) return NOT_RUN;
            journal.write("host ready");
            return observe(host);
        }
    }

    private int observe(Host host) throws Exception {
        long start = System.nanoTime();
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) callers.add(Threads.start("caller-" + i, () -> call(host, start)));
        sleepUntil(start, CROWD_FROM_MILLIS);
        journal.write("before the crowd: served " + served + ", failed " + failed);
        Crowd crowd = new Crowd(host, CLIENTS, header());
        if (trouble) Threads.start("crowd", crowd::run);
        sleepUntil(start, CROWD_UNTIL_MILLIS);
        crowd.end();
        journal.write("the crowd has left after " + crowd.opened() + " connections; served " + served + ", failed "
            + failed + ", readiness " + host.readiness());
        sleepUntil(start, RUN_MILLIS);
        for (Thread caller : callers) caller.join(6_000);
        if (trouble && (crowd.hasFailed() || crowd.opened() < CLIENTS / 2)) return NOT_RUN;
        boolean ended = !host.isAlive();
        for (String line : host.logLines("OutOfMemory")) journal.write("log of the host: " + line);
        journal.write((ended ? "the process has ended by itself" : "readiness " + host.readiness()) + "; of " + judged
            + " requests from 5.5 s after the end of the crowd on, " + servedLater + " were served; in the whole run "
            + overdue + " lasted longer than " + TIMEOUT_MILLIS + " ms, and " + unanswered
            + " had no answer 0.5 s after that");
        boolean isLate = unanswered.get() >= 8 && unanswered.get() > overdue.get() / 4;
        boolean hangs = judged.get() > 0 && servedLater.get() == 0;
        return ended || isLate || hangs ? BROKEN : HELD;
    }

    private void call(Host host, long start) {
        Caller caller = new Caller(host.ip(), host.frontend());
        while (System.nanoTime() - start < RUN_MILLIS * 1_000_000 && host.isAlive()) {
            String attempt = UUID.randomUUID().toString().substring(0, 18);
            boolean isJudged = System.nanoTime() - start > JUDGED_FROM_MILLIS * 1_000_000;
            var result = caller.ask("POST", Desk.PATH, Desk.HOST, attempt, Desk.KEY, new byte[600], 4_000);
            if (isJudged) judged.incrementAndGet();
            if (result.connected() && result.millis() > TIMEOUT_MILLIS) {
                overdue.incrementAndGet();
                if (result.timedOut() || result.millis() > TIMEOUT_MILLIS + 500) unanswered.incrementAndGet();
            }
            if (result.isSuccess()) {
                served.incrementAndGet();
                if (isJudged) servedLater.incrementAndGet();
            } else {
                failed.incrementAndGet();
                journal.write(attempt + ": " + result.text() + " after " + result.millis() + " ms");
            }
            Threads.sleep(250);
        }
    }

    /** A header within the limit of 16,384 bytes and 256 fields, without its last line. */
    private static byte[] header() {
        StringBuilder header = new StringBuilder("POST /nowhere/1 HTTP/1.1\r\nHost: x.example\r\n");
        for (int i = 0; i < 250; i++) header.append("a").append(i).append(':').append("v".repeat(50)).append("\r\n");
        return header.toString().getBytes();
    }

    private static void sleepUntil(long start, long millis) {
        Threads.sleep(Math.max(0, millis - (System.nanoTime() - start) / 1_000_000));
    }
}
