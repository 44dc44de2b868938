import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/** Stand-in of the platform's store: topics of one partition, of which those named `keyed.` also keep the newest values. */
final class Store implements AutoCloseable {
    /** History of the small deployments. */
    private static final long KEEP_NANOS = 20_000_000_000L;

    private static final class Topic {
        final List<byte[]> records = new ArrayList<>();
        final List<Long> times = new ArrayList<>();
        int first;

        void expire() {
            while (first < records.size() && System.nanoTime() - times.get(first) > KEEP_NANOS) records.set(first++, null);
        }

        final TreeMap<String, Object[]> newest = new TreeMap<>();
    }

    private final Map<String, Topic> topics = new HashMap<>();
    private final HttpServer server;
    final String address;

    Store() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 256);
        server.setExecutor(Executors.newCachedThreadPool(r -> {
            Thread t = new Thread(r, "store");
            t.setDaemon(true);
            return t;
        }));
        server.createContext("/v1/log-append", this::append);
        server.createContext("/v1/log-read", this::read);
        server.createContext("/v1/log-newest", this::newest);
        server.start();
        address = "127.0.0.1:" + server.getAddress().getPort();
    }

    /** Writes the newest value of a key as the operator or a worker does; null removes the key. */
    void put(String topic, String key, String value) {
        put(topic, key.getBytes(StandardCharsets.UTF_8), value == null ? new byte[0] : value.getBytes(StandardCharsets.UTF_8));
    }

    synchronized void put(String topic, byte[] k, byte[] v) {
        ByteBuffer b = ByteBuffer.allocate(1 + k.length + v.length);
        b.put((byte) k.length).put(k).put(v);
        add(topic, b.array());
        notifyAll();
    }

    @Override
    public void close() {
        server.stop(0);
    }

    private Topic topic(String name) {
        return topics.computeIfAbsent(name, n -> new Topic());
    }

    private void add(String name, byte[] record) {
        Topic t = topic(name);
        if (name.startsWith("keyed.")) {
            int n = record[0] & 0xff;
            String key = new String(record, 1, n, StandardCharsets.UTF_8);
            byte[] value = java.util.Arrays.copyOfRange(record, 1 + n, record.length);
            if (value.length == 0) t.newest.remove(key);
            else t.newest.put(key, new Object[] {(long) t.records.size(), value});
        }
        t.records.add(record);
        t.times.add(System.nanoTime());
    }

    private static Map<String, String> query(HttpExchange x) {
        Map<String, String> q = new HashMap<>();
        String raw = x.getRequestURI().getQuery();
        if (raw != null) for (String p : raw.split("&")) {
            int i = p.indexOf('=');
            q.put(p.substring(0, i), p.substring(i + 1));
        }
        return q;
    }

    private void append(HttpExchange x) throws IOException {
        String name = query(x).get("topic");
        byte[] body = x.getRequestBody().readAllBytes();
        String answer;
        synchronized (this) {
            Topic t = topic(name);
            long first = t.records.size();
            ByteBuffer b = ByteBuffer.wrap(body);
            while (b.hasRemaining()) {
                byte[] r = new byte[b.getInt()];
                b.get(r);
                add(name, r);
            }
            notifyAll();
            answer = "{\"offset\":" + first + ",\"endOffset\":" + t.records.size() + "}";
        }
        send(x, "application/json", answer.getBytes(StandardCharsets.UTF_8));
    }

    private void read(HttpExchange x) throws IOException {
        Map<String, String> q = query(x);
        int from = Integer.parseInt(q.get("from"));
        long until = System.nanoTime() + Long.parseLong(q.getOrDefault("waitMs", "0")) * 1_000_000L;
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        synchronized (this) {
            Topic t = topic(q.get("topic"));
            t.expire();
            if (from < t.first) {
                byte[] gone = ("{\"first\":" + t.first + "}").getBytes(StandardCharsets.UTF_8);
                x.sendResponseHeaders(410, gone.length);
                x.getResponseBody().write(gone);
                x.close();
                return;
            }
            while (t.records.size() <= from) {
                long left = (until - System.nanoTime()) / 1_000_000L;
                if (left <= 0) break;
                try {
                    wait(left);
                } catch (InterruptedException e) {
                    return;
                }
            }
            DataOutputStream d = new DataOutputStream(out);
            d.writeLong(t.records.size());
            d.writeLong(t.first);
            for (int i = from; i < Math.min(t.records.size(), from + 1024); i++) {
                d.writeInt(t.records.get(i).length);
                d.write(t.records.get(i));
            }
        }
        send(x, "application/octet-stream", out.toByteArray());
    }

    private void newest(HttpExchange x) throws IOException {
        StringBuilder s = new StringBuilder("{\"items\":[");
        synchronized (this) {
            Topic t = topic(query(x).get("topic"));
            String after = query(x).get("after");
            boolean first = true;
            for (Map.Entry<String, Object[]> e : t.newest.entrySet()) {
                if (after != null && e.getKey().compareTo(after) <= 0) continue;
                s.append(first ? "" : ",").append("{\"key\":\"").append(e.getKey()).append("\",\"value\":\"")
                    .append(Base64.getEncoder().encodeToString((byte[]) e.getValue()[1]))
                    .append("\",\"offset\":").append(e.getValue()[0]).append("}");
                first = false;
            }
            s.append("],\"more\":false,\"endOffset\":").append(t.records.size()).append("}");
        }
        send(x, "application/json", s.toString().getBytes(StandardCharsets.UTF_8));
    }

    private static void send(HttpExchange x, String type, byte[] body) throws IOException {
        x.getResponseHeaders().set("Content-Type", type);
        x.sendResponseHeaders(200, body.length == 0 ? -1 : body.length);
        x.getResponseBody().write(body);
        x.close();
    }
}
