import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Stand-in of a worker: registers in the store every 1.2 s and answers each request as its [Answer] says. */
final class Worker implements AutoCloseable {
    /** Answers one request; returns whether the connection may carry another one. */
    interface Answer {
        boolean to(Http.Message request, Worker worker, Socket socket, OutputStream out)
            throws IOException, InterruptedException;
    }

    final String id;
    final String address;
    final long born = System.currentTimeMillis();
    private final String service;
    private final String stage;
    private final int slots;
    private final Store store;
    private final ServerSocket listener;
    private final Answer answer;
    private final java.util.Set<Socket> open = java.util.concurrent.ConcurrentHashMap.newKeySet();
    private volatile String state = "ready";
    private volatile boolean closed;
    private long beats;

    Worker(Store store, String id, String service, String stage, int slots, Answer answer) throws IOException {
        this.store = store;
        this.id = id;
        this.service = service;
        this.stage = stage;
        this.slots = slots;
        this.answer = answer;
        listener = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
        address = "127.0.0.1:" + listener.getLocalPort();
        daemon(this::beat);
        daemon(this::accept);
    }

    /** The usual head of an answer of this worker. */
    String head(Http.Message request, String more) {
        String attempt = request.head.get("anvilvalve-attempt-id");
        return "HTTP/1.1 200 OK\r\n" + (attempt == null ? "" : "Anvilvalve-Attempt-Id: " + attempt + "\r\n")
            + "Anvilvalve-Response-Signature: sig." + id + "." + attempt + "\r\n"
            + "Anvilvalve-Instance-Load: 1,0," + slots + "\r\n" + more + "\r\n";
    }

    static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    /** Reports that this worker leaves; the report is acknowledged when this returns. */
    void drain() {
        state = "draining";
        report();
    }

    /** Ends this worker as a process that exits: its entry is removed, and its connections end. */
    @Override
    public synchronized void close() throws IOException {
        closed = true;
        store.put("keyed.servers", id, null);
        listener.close();
        for (Socket s : open) s.close();
    }

    private synchronized void report() {
        if (closed) return;
        store.put("keyed.servers", id, "{\"service\":\"" + service + "\",\"address\":\"" + address
            + "\",\"zone\":\"tacoma\",\"version\":\"v1\",\"slots\":" + slots
            + ",\"state\":\"" + state + "\",\"coldRemainingMs\":0," + (stage == null ? "" : "\"stage\":\"" + stage + "\",")
            + "\"born\":" + born + ",\"sequence\":" + ++beats + "}");
    }

    private void beat() {
        try {
            while (!closed) {
                report();
                Thread.sleep(1_200);
            }
        } catch (InterruptedException e) {
            // The worker ends.
        }
    }

    private void accept() {
        while (!closed) {
            try {
                Socket s = listener.accept();
                s.setTcpNoDelay(true);
                daemon(() -> serve(s));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket s) {
        open.add(s);
        try (s) {
            BufferedInputStream in = new BufferedInputStream(s.getInputStream());
            OutputStream out = s.getOutputStream();
            while (true) {
                Http.Message request = Http.read(in, false);
                if (!request.complete) return;
                if (request.start.startsWith("GET /v1/report")) {
                    String body = "{\"stage\":\"" + stage + "\",\"busy\":false,\"sequence\":0,\"queued\":0,\"active\":0,"
                        + "\"kvUsed\":0,\"kvTotal\":76160,\"kvHandles\":0,\"models\":[]}";
                    write(out, "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
                } else if (request.start.startsWith("POST /v1/order") || request.start.startsWith("DELETE ")) {
                    // The order already holds, or the handle is free.
                    write(out, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
                } else if (!id.equals(request.head.get("anvilvalve-expect-instance"))) {
                    write(out, "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n");
                } else if (!answer.to(request, this, s, out)) {
                    return;
                }
            }
        } catch (IOException | InterruptedException e) {
            // The caller has closed the connection.
        } finally {
            open.remove(s);
        }
    }

    private static void daemon(Runnable r) {
        Thread t = new Thread(null, r, "worker", 256 * 1024);
        t.setDaemon(true);
        t.start();
    }
}
