import java.util.UUID;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients name a model whose name is not ASCII. */
public final class ModelNameCase extends Case {
    private static final int REQUESTS = 40;

    public static void main(String[] args) {
        main(new ModelNameCase(), args);
    }

    @Override
    int run() throws Exception {
        Store store = new Store(net + "1");
        store.put("keyed.op", "config", Desk.configuration(1, "unsafe", 2_000, 1));
        String model = trouble ? "kocaba\u015f" : "kocabas";
        String bytes = new String(model.getBytes("UTF-8"), "ISO-8859-1");
        AtomicInteger same = new AtomicInteger();
        AtomicInteger changed = new AtomicInteger();
        Desk.start(store, net, 2, (worker, request, out) -> {
            String received = request.field("Anvilvalve-Model");
            if (bytes.equals(received)) same.incrementAndGet();
            else {
                changed.incrementAndGet();
                journal.write(worker.id + " runs " + request.field("Anvilvalve-Attempt-Id") + " with the model " + received);
            }
            Worker.sendWhole(worker, request, out, new byte[800]);
            return true;
        });
        try (Host host = new Host(root, work, "edge-1", net + "2", "tacoma", store.address())) {
            host.start();
            if (!host.awaitReady(20_000)) return NOT_RUN;
            Threads.sleep(4_000);
            Caller caller = new Caller(host.ip(), host.frontend());
            for (int i = 0; i < REQUESTS; i++) {
                String attempt = UUID.randomUUID().toString().substring(0, 18);
                var result = caller.ask("POST", Desk.PATH, Desk.HOST, attempt,
                    Desk.KEY + "Anvilvalve-Model: " + model + "\r\n", new byte[600], 4_000);
                journal.write(attempt + ": " + result.text());
            }
        }
        journal.write("runs with the client's model " + same + ", with another one " + changed);
        return changed.get() > 0 ? BROKEN : HELD;
    }
}
