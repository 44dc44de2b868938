import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * A crowd of clients sends bodies of legal size in chunks of one byte and stops short of their end, while ordinary
 * clients go on. The memory of the process is measured as the platform counts it.
 */
public final class ChunkCrowd {
    private static final int CLIENTS = 2_000;

    /** Time after which all clients of the crowd leave and come back. */
    private static final long WAVE_MS = 8_000;
    private static final int CHUNKS_PER_CLIENT = 200_000;
    private static final long MEMORY_BYTES = 280L * 1024 * 1024;
    private static final long CROWD_MS = 40_000;

    private static final class Client {
        SocketChannel channel;
        ByteBuffer pending;
        int chunks;
    }

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path root = Path.of(arguments[0]).toAbsolutePath().normalize();
        Path folder = Files.createTempDirectory("review");
        int result = 2;
        try (Record record = new Record(Path.of(arguments[1])); Store store = new Store()) {
            result = run(trouble, root, folder, record, store);
        } finally {
            System.exit(result);
        }
    }

    private static int run(boolean trouble, Path root, Path folder, Record record, Store store) throws Exception {
        Worker.Answer answer = (request, worker, socket, out) -> {
            record.line(worker.id + " runs " + request.head.get("anvilvalve-attempt-id"));
            Thread.sleep(85);
            Worker.write(out, worker.head(request, "Content-Length: 800\r\n") + "x".repeat(800));
            return true;
        };
        store.put("keyed.op", "config", Configurations.small(1));
        for (int i = 0; i < 4; i++) new Worker(store, "w" + i, "drawer-desk", null, 6, answer);
        try (Host host = new Host(root, folder, store, "edge-0")) {
            if (!host.awaitReady(30)) {
                record.say("the host did not become ready");
                return 2;
            }
            Thread.sleep(2_000);
            int before = ordinary(record, host, "before", 2_000)[0];
            if (before == 0) return 2;
            if (trouble) {
                Thread t = new Thread(() -> crowd(record, host.callers));
                t.setDaemon(true);
                t.start();
            }
            long[] most = new long[3];
            Thread watch = new Thread(() -> watch(record, host, most));
            watch.setDaemon(true);
            watch.start();
            int[] during = ordinary(record, host, "during", CROWD_MS);
            boolean isOver = most[0] > MEMORY_BYTES;
            boolean hasEnded = !host.isAlive();
            record.say("greatest memory " + most[0] / 1024 / 1024 + " MiB (resident " + most[1] / 1024 / 1024
                + ", received and unread " + most[2] / 1024 / 1024 + "), allowed 280; process "
                + (hasEnded ? "was killed for it or ended" : "runs") + "; ordinary lookups served " + during[0] + ", not served "
                + during[1]);
            return isOver || hasEnded ? 1 : 0;
        }
    }

    /** Sends lookups one after the other, as an ordinary client; returns how many were served and how many not. */
    private static int[] ordinary(Record record, Host host, String phase, long ms) throws InterruptedException {
        int[] counts = new int[2];
        long end = System.currentTimeMillis() + ms;
        for (int i = 0; System.currentTimeMillis() < end && host.isAlive(); i++) {
            String id = phase + i;
            Http.Message m = Http.exchange(host.callers, Configurations.request("GET", "/look/7", id, 4_000, 0, ""),
                new byte[0], 4_000);
            record.line("ordinary client gets for " + id + ": " + m.start);
            counts[m.complete && m.status() == 200 ? 0 : 1]++;
            Thread.sleep(100);
        }
        return counts;
    }

    /** Measures the memory ten times a second; kills the process when it has more than the machine allows. */
    private static void watch(Record record, Host host, long[] most) {
        try {
            while (host.isAlive()) {
                long resident = host.residentKib("VmRSS") * 1024;
                long unread = host.unreadBytes();
                record.line("resident " + resident + " bytes, received and unread " + unread);
                if (resident + unread > most[0]) {
                    most[0] = resident + unread;
                    most[1] = resident;
                    most[2] = unread;
                }
                if (resident + unread > MEMORY_BYTES) {
                    record.line("the process exceeds the memory of its machine and is killed");
                    host.close();
                }
                Thread.sleep(100);
            }
        } catch (IOException | InterruptedException e) {
            record.line("measuring ended: " + e);
        }
    }

    /** Keeps [CLIENTS] connections; a client whose connection is closed comes back. */
    private static void crowd(Record record, String address) {
        String[] at = address.split(":");
        InetSocketAddress to = new InetSocketAddress(at[0], Integer.parseInt(at[1]));
        Client[] clients = new Client[CLIENTS];
        int opened = 0;
        byte[] chunks = "1\r\nx\r\n".repeat(5_000).getBytes();
        for (int i = 0; i < CLIENTS; i++) clients[i] = new Client();
        long leaveAt = System.currentTimeMillis() + WAVE_MS;
        while (true) {
            boolean any = false;
            if (System.currentTimeMillis() > leaveAt) {
                leaveAt += WAVE_MS;
                for (Client c : clients) close(c);
                record.line("the crowd leaves and comes back");
            }
            for (Client c : clients) {
                try {
                    if (c.channel == null) {
                        c.channel = SocketChannel.open();
                        c.channel.setOption(StandardSocketOptions.SO_RCVBUF, 4_096);
                        c.channel.configureBlocking(false);
                        c.channel.connect(to);
                        c.pending = ByteBuffer.wrap(Configurations.request("POST", "/loan/7", "crowd" + ++opened, 4_000, 0,
                            "Transfer-Encoding: chunked\r\n").getBytes());
                        c.chunks = 0;
                        if (opened % CLIENTS == 0) record.line("the crowd has opened " + opened + " connections");
                        any = true;
                        continue;
                    }
                    if (c.channel.isConnectionPending() && !c.channel.finishConnect()) continue;
                    if (!c.pending.hasRemaining()) {
                        if (c.chunks >= CHUNKS_PER_CLIENT) continue;
                        c.pending = ByteBuffer.wrap(chunks);
                        c.chunks += 5_000;
                    }
                    if (c.channel.write(c.pending) > 0) any = true;
                } catch (IOException e) {
                    close(c);
                }
            }
            if (!any) try {
                Thread.sleep(20);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private static void close(Client c) {
        try {
            if (c.channel != null) c.channel.close();
        } catch (IOException e) {
            // Nothing else is to be done.
        }
        c.channel = null;
    }
}
