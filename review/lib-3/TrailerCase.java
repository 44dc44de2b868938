import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A worker in trouble ends the chunked body of an answer with trailer fields without end. */
public final class TrailerCase extends Case {
    private static final int WORKERS = 4;
    private static final int CALLERS = 48;
    private static final int TIMEOUT_MILLIS = 2_000;
    private static final long RUN_MILLIS = 100_000;

    /** The host is in touch by then. */
    private static final long CALM_MILLIS = 6_000;

    /** Half of the workers spoil one of so many answers for so long, again and again. */
    private static final int SPOILED_EVERY = 20;
    private static final long TROUBLE_MILLIS = 6_000;
    private static final long TROUBLE_INTERVAL_MILLIS = 10_000;

    /** So many bytes of trailers are sent as fast as they are read, and then 4,000 fields after each pause. */
    private static final long FAST_BYTES = 4_800_000;
    private static final long TRAILER_PAUSE_MILLIS = 50;
    private static final long WORK_MILLIS = 85;

    private final Map<String, String> soundRuns = new ConcurrentHashMap<>();
    private final AtomicInteger answers = new AtomicInteger();
    private final AtomicInteger spoiled = new AtomicInteger();
    private final AtomicInteger sent = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger cut = new AtomicInteger();
    private final AtomicInteger overdue = new AtomicInteger();
    private final AtomicInteger unanswered = new AtomicInteger();
    private volatile boolean over;
    private volatile long startedAt = Long.MAX_VALUE;

    public static void main(String[] args) {
        main(new TrailerCase(), args);
    }

    @Override
    int run() throws Exception {
        Store store = new Store(net + "1");
        store.put("keyed.op", "config", Desk.configuration(1, "unsafe", TIMEOUT_MILLIS, 1));
        Desk.start(store, net, WORKERS, this::answer);
        try (Host host = new Host(root, work, "edge-1", net + "2", "tacoma", store.address())) {
            host.start();
            if (!host.awaitReady(20_000)) return NOT_RUN;
            startedAt = System.nanoTime();
            journal.write("host ready");
            return observe(host);
        }
    }

    private boolean answer(Worker worker, Http.Message request, OutputStream out) throws IOException {
        String attempt = request.field("Anvilvalve-Attempt-Id");
        Threads.sleep(WORK_MILLIS);
        boolean inTrouble = trouble && (worker.id.equals("i-0") || worker.id.equals("i-1"));
        long since = (System.nanoTime() - startedAt) / 1_000_000 - CALM_MILLIS;
        boolean isNow = since >= 0 && since % TROUBLE_INTERVAL_MILLIS < TROUBLE_MILLIS;
        if (inTrouble && isNow && answers.incrementAndGet() % SPOILED_EVERY == 1) {
            spoiled.incrementAndGet();
            journal.write(worker.id + " ran " + attempt + " and spoils its answer");
            sendTrailers(worker, request, out);
            return false;
        }
        if (!inTrouble) soundRuns.put(attempt, worker.id);
        Worker.sendWhole(worker, request, out, new byte[800]);
        return true;
    }

    private void sendTrailers(Worker worker, Http.Message request, OutputStream out) throws IOException {
        byte[] fields = "a:\r\n".repeat(4_000).getBytes();
        long count = 0;
        try {
            out.write((Worker.head(worker, request, 200) + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n")
                .getBytes());
            while (true) {
                out.write(fields);
                out.flush();
                count += fields.length;
                if (count > FAST_BYTES) Threads.sleep(TRAILER_PAUSE_MILLIS);
            }
        } finally {
            journal.write(worker.id + " has sent " + count + " bytes of trailers when its caller closes");
        }
    }

    private int observe(Host host) throws Exception {
        long end = System.nanoTime() + RUN_MILLIS * 1_000_000;
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) callers.add(Threads.start("caller-" + i, () -> call(host)));
        while (System.nanoTime() < end && host.isAlive() && !isClear()) Threads.sleep(20);
        over = true;
        boolean ended = !host.isAlive();
        if (ended) journal.write("the process of the host has ended by itself, exit code " + host.exitCode());
        for (Thread caller : callers) caller.join(6_000);
        for (String line : host.logLines("OutOfMemory")) journal.write("log of the host: " + line);
        journal.write("sent " + sent + ", served " + served + ", spoiled answers " + spoiled
            + ", passed on from kept connections to sound workers and closed without an answer " + cut + "; " + overdue
            + " lasted longer than " + TIMEOUT_MILLIS + " ms, and " + unanswered + " had no answer 0.5 s after that");
        return ended || cut.get() > 3 || isLate() ? BROKEN : HELD;
    }

    /** Whether requests that have not ended cannot change the result any more. */
    private boolean isClear() {
        return unanswered.get() >= CALLERS / 2 && unanswered.get() > overdue.get() / 4 + CALLERS / 4;
    }

    private boolean isLate() {
        return unanswered.get() >= 8 && unanswered.get() > overdue.get() / 4;
    }

    private void call(Host host) {
        Caller caller = new Caller(host.ip(), host.frontend());
        while (!over && host.isAlive()) {
            String attempt = UUID.randomUUID().toString().substring(0, 18);
            sent.incrementAndGet();
            var result = caller.ask("POST", Desk.PATH, Desk.HOST, attempt, Desk.KEY, new byte[600], 4_000);
            if (result.connected() && result.millis() > TIMEOUT_MILLIS) {
                overdue.incrementAndGet();
                if (result.timedOut() || result.millis() > TIMEOUT_MILLIS + 500) unanswered.incrementAndGet();
            }
            if (result.isSuccess()) {
                served.incrementAndGet();
                continue;
            }
            String worker = soundRuns.get(attempt);
            if (worker != null && result.kept() && result.isClosed()) cut.incrementAndGet();
            journal.write(attempt + ": " + result.text() + " after " + result.millis() + " ms"
                + (worker == null ? "" : ", run by " + worker) + (result.kept() ? ", kept connection" : ""));
            Threads.sleep(20);
        }
    }
}
