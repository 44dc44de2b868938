import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/** Stand-in for a worker that registers in the store and answers requests as its behaviour says. */
final class Worker implements AutoCloseable {
    /** Answers a request; returns whether the connection stays open. */
    interface Behaviour {
        boolean answer(Worker worker, Http.Message request, OutputStream out) throws IOException;
    }

    final String id;
    final Set<String> runs = ConcurrentHashMap.newKeySet();
    private final String service;
    private final String zone;
    private final int slots;
    private final String stage;
    private final Store store;
    private final Behaviour behaviour;
    private final ServerSocket listener;
    private final long born = System.currentTimeMillis();
    private final AtomicLong heartbeats = new AtomicLong();
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private volatile boolean closed;
    private volatile String state = "ready";

    Worker(Store store, String address, String id, String service, String zone, int slots, String stage,
        Behaviour behaviour) throws IOException {
        this.store = store;
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.slots = slots;
        this.stage = stage;
        this.behaviour = behaviour;
        listener = new ServerSocket(0, 500, InetAddress.getByName(address));
        Threads.start(id, this::acceptAll);
        Threads.start(id + "-heartbeat", this::register);
    }

    String address() {
        return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
    }

    /** Sends a whole signed answer with a length. */
    static void sendWhole(Worker worker, Http.Message request, OutputStream out, byte[] body) throws IOException {
        out.write((head(worker, request, 200) + "Content-Type: application/octet-stream\r\nContent-Length: "
            + body.length + "\r\n\r\n").getBytes());
        out.write(body);
        out.flush();
    }

    /** Status line and the fields that every answer of a worker has; without the empty line. */
    static String head(Worker worker, Http.Message request, int status) {
        String attempt = request.field("Anvilvalve-Attempt-Id");
        return "HTTP/1.1 " + status + " X\r\n" + (attempt == null ? "" : "Anvilvalve-Attempt-Id: " + attempt + "\r\n")
            + "Anvilvalve-Response-Signature: " + worker.id + "." + attempt + "\r\n";
    }

    /** Answers that the request was not run. */
    static void refuse(Worker worker, Http.Message request, OutputStream out, int status) throws IOException {
        String attempt = request.field("Anvilvalve-Attempt-Id");
        out.write(("HTTP/1.1 " + status + " X\r\n" + (attempt == null ? "" : "Anvilvalve-Attempt-Id: " + attempt + "\r\n")
            + "Anvilvalve-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n").getBytes());
        out.flush();
    }

    /** Crashes: closes the port and all connections, and sends nothing more. */
    @Override
    public void close() throws IOException {
        closed = true;
        listener.close();
        for (Socket socket : open) socket.close();
    }

    /** Reports that the worker leaves; it goes on to serve. Returns when the store has accepted the report. */
    void leave() {
        state = "draining";
        write();
    }

    private void register() {
        while (!closed) {
            write();
            Threads.sleep(1_200);
        }
    }

    private void write() {
        store.put("keyed.servers", id, "{\"service\":\"" + service + "\",\"address\":\"" + address() + "\",\"zone\":\"" + zone
            + "\",\"version\":1,\"slots\":" + slots + ",\"state\":\"" + state + "\",\"coldRemainingMs\":0,\"sequence\":"
            + heartbeats.incrementAndGet() + ",\"born\":" + born
            + (stage == null ? "" : ",\"stage\":\"" + stage + "\"") + "}");
    }

    private void acceptAll() {
        while (true) {
            try {
                Socket socket = listener.accept();
                Threads.start(id + "-call", () -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        open.add(socket);
        try (socket) {
            socket.setTcpNoDelay(true);
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = new BufferedOutputStream(socket.getOutputStream());
            while (true) {
                Http.Message request = Http.readMessage(in);
                if (request == null || !request.complete) return;
                String expected = request.field("Anvilvalve-Expect-Instance");
                if (expected != null && !expected.equals(id)) {
                    refuse(this, request, out, 421);
                } else if (!behaviour.answer(this, request, out)) {
                    return;
                }
            }
        } catch (IOException e) {
            // The host has closed the connection.
        } finally {
            open.remove(socket);
        }
    }
}
