import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients that each send the same bytes on a connection, wait, and connect again when it is closed. */
final class Crowd {
    /** Connections that are opened in a row, and the pause after them. */
    private static final int ROW = 50;
    private static final long ROW_PAUSE_MILLIS = 10;

    private final InetSocketAddress address;
    private final int clients;
    private final byte[] bytes;
    private final AtomicInteger opened = new AtomicInteger();
    private final Set<SocketChannel> open = new HashSet<>();
    private volatile boolean ended;
    private volatile boolean failed;

    Crowd(Host host, int clients, byte[] bytes) {
        address = new InetSocketAddress(host.ip(), host.frontend());
        this.clients = clients;
        this.bytes = bytes;
    }

    int opened() {
        return opened.get();
    }

    /** Whether the crowd could not be kept up, for example for want of descriptors. */
    boolean hasFailed() {
        return failed;
    }

    /** Closes all connections. */
    void end() {
        ended = true;
        Threads.sleep(500);
    }

    void run() {
        try (Selector selector = Selector.open()) {
            while (!ended) {
                for (int i = 0; i < ROW && open.size() < clients; i++) connect(selector);
                selector.selectNow();
                for (SelectionKey key : selector.selectedKeys()) react(key);
                selector.selectedKeys().clear();
                Threads.sleep(ROW_PAUSE_MILLIS);
            }
            for (SocketChannel channel : open) channel.close();
        } catch (IOException e) {
            failed = true;
        }
    }

    private void connect(Selector selector) throws IOException {
        SocketChannel channel = SocketChannel.open();
        channel.configureBlocking(false);
        channel.connect(address);
        channel.register(selector, SelectionKey.OP_CONNECT, ByteBuffer.wrap(bytes));
        open.add(channel);
    }

    private void react(SelectionKey key) throws IOException {
        SocketChannel channel = (SocketChannel) key.channel();
        ByteBuffer left = (ByteBuffer) key.attachment();
        try {
            if (key.isConnectable() && channel.finishConnect()) {
                opened.incrementAndGet();
                key.interestOps(SelectionKey.OP_WRITE);
            } else if (key.isWritable()) {
                channel.write(left);
                if (!left.hasRemaining()) key.interestOps(SelectionKey.OP_READ);
            } else if (channel.read(ByteBuffer.allocate(1_024)) < 0) {
                open.remove(channel);
                channel.close();
            }
        } catch (IOException e) {
            open.remove(channel);
            channel.close();
        }
    }
}
