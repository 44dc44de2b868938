import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/** Stand-in for the platform's store: a log with keyed topics. */
final class Store implements AutoCloseable {
    private static final class Topic {
        final List<byte[]> records = new ArrayList<>();
        final Map<String, Integer> newest = new LinkedHashMap<>();
    }

    private final ServerSocket listener;
    private final Map<String, Topic> topics = new HashMap<>();

    /** Requests that the store refuses with 503; the argument is the path with its query. */
    volatile Predicate<String> refuses = target -> false;

    Store(String address) throws IOException {
        listener = new ServerSocket(0, 200, InetAddress.getByName(address));
        Threads.start("store", this::acceptAll);
    }

    String address() {
        return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
    }

    /** Writes a record of a keyed topic; an empty value removes the key. */
    void put(String topic, String key, String value) {
        put(topic, key.getBytes(StandardCharsets.UTF_8), value.getBytes(StandardCharsets.UTF_8));
    }

    void put(String topic, byte[] key, byte[] value) {
        byte[] record = ByteBuffer.allocate(1 + key.length + value.length)
            .put((byte) key.length).put(key).put(value).array();
        append(topic, List.of(record));
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }

    private synchronized long[] append(String name, List<byte[]> records) {
        Topic topic = topics.computeIfAbsent(name, n -> new Topic());
        long first = topic.records.size();
        for (byte[] record : records) {
            if (name.startsWith("keyed.")) {
                int keyLength = record[0] & 0xff;
                String key = new String(record, 1, keyLength, StandardCharsets.UTF_8);
                topic.newest.remove(key);
                if (record.length > 1 + keyLength) topic.newest.put(key, topic.records.size());
            }
            topic.records.add(record);
        }
        notifyAll();
        return new long[] {first, topic.records.size()};
    }

    private void acceptAll() {
        while (true) {
            try {
                Socket socket = listener.accept();
                Threads.start("store-call", () -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            Http.Message request = Http.readMessage(socket.getInputStream());
            if (request == null) return;
            String target = request.firstLine.split(" ")[1];
            if (refuses.test(target)) {
                send(socket.getOutputStream(), 503, "application/json", "{}".getBytes());
                return;
            }
            handle(target, request.body, socket.getOutputStream());
        } catch (IOException | InterruptedException e) {
            // The caller has closed its connection.
        }
    }

    private void handle(String target, byte[] body, OutputStream out) throws IOException, InterruptedException {
        Map<String, String> query = Http.query(target);
        String topic = query.getOrDefault("topic", "");
        if (target.startsWith("/v1/log-newest")) {
            send(out, 200, "application/json", newest(topic).getBytes(StandardCharsets.UTF_8));
        } else if (target.startsWith("/v1/log-read")) {
            long wait = Long.parseLong(query.getOrDefault("waitMs", "0"));
            send(out, 200, "application/octet-stream", read(topic, Integer.parseInt(query.get("from")), wait));
        } else if (target.startsWith("/v1/log-append")) {
            long[] range = append(topic, split(body));
            String answer = "{\"offset\":" + range[0] + ",\"endOffset\":" + range[1] + "}";
            send(out, 200, "application/json", answer.getBytes());
        } else {
            send(out, 404, "application/json", "{}".getBytes());
        }
    }

    private synchronized String newest(String name) {
        Topic topic = topics.computeIfAbsent(name, n -> new Topic());
        StringBuilder items = new StringBuilder();
        topic.newest.forEach((key, offset) -> {
            byte[] record = topic.records.get(offset);
            int start = 1 + (record[0] & 0xff);
            byte[] value = java.util.Arrays.copyOfRange(record, start, record.length);
            if (items.length() > 0) items.append(',');
            items.append("{\"key\":\"").append(key).append("\",\"value\":\"")
                .append(Base64.getEncoder().encodeToString(value)).append("\",\"offset\":").append(offset).append('}');
        });
        return "{\"items\":[" + items + "],\"more\":false,\"endOffset\":" + topic.records.size() + "}";
    }

    private synchronized byte[] read(String name, int from, long waitMs) throws InterruptedException, IOException {
        Topic topic = topics.computeIfAbsent(name, n -> new Topic());
        long end = System.nanoTime() + waitMs * 1_000_000;
        while (topic.records.size() <= from) {
            long left = (end - System.nanoTime()) / 1_000_000;
            if (left <= 0) break;
            wait(left);
        }
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream data = new DataOutputStream(bytes);
        data.writeLong(topic.records.size());
        data.writeLong(0);
        for (int i = from; i < topic.records.size(); i++) {
            data.writeInt(topic.records.get(i).length);
            data.write(topic.records.get(i));
        }
        return bytes.toByteArray();
    }

    private static List<byte[]> split(byte[] body) {
        List<byte[]> records = new ArrayList<>();
        ByteBuffer buffer = ByteBuffer.wrap(body);
        while (buffer.hasRemaining()) {
            byte[] record = new byte[buffer.getInt()];
            buffer.get(record);
            records.add(record);
        }
        return records;
    }

    private static void send(OutputStream out, int status, String type, byte[] body) throws IOException {
        String head = "HTTP/1.1 " + status + " X\r\nContent-Type: " + type + "\r\nContent-Length: " + body.length
            + "\r\nConnection: close\r\n\r\n";
        out.write(head.getBytes());
        out.write(body);
        out.flush();
    }
}
