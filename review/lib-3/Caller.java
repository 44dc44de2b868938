import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;

/** A client with one connection at a time, which it keeps for many requests. */
final class Caller implements AutoCloseable {
    /** What a request has got; [answer] is null without a status line. */
    record Result(String attempt, Http.Message answer, boolean connected, boolean timedOut, boolean kept, long millis) {
        boolean isClosed() {
            return connected && answer == null && !timedOut;
        }

        boolean isWhole() {
            return answer != null && answer.complete;
        }

        boolean isSuccess() {
            return isWhole() && answer.status() >= 200 && answer.status() < 300;
        }

        String text() {
            if (!connected) return "no connection";
            if (timedOut) return "no answer within the deadline";
            if (answer == null) return "connection closed without an answer";
            return answer.status() + (answer.complete ? "" : ", cut off");
        }
    }

    private final String ip;
    private final int port;
    private Socket socket;
    private InputStream in;

    Caller(String ip, int port) {
        this.ip = ip;
        this.port = port;
    }

    /** Sends a request and waits for its answer; connects first if there is no connection. */
    Result ask(String method, String path, String host, String attempt, String fields, byte[] body, int deadlineMs) {
        long start = System.nanoTime();
        boolean kept = socket != null;
        Http.Message answer = null;
        boolean connected = false;
        boolean timedOut = false;
        try {
            if (socket == null) connect();
            connected = true;
            socket.setSoTimeout(deadlineMs);
            String head = method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nAnvilvalve-Attempt-Id: " + attempt
                + "\r\nAnvilvalve-Deadline-Ms: " + deadlineMs + "\r\n" + fields
                + (body == null ? "" : "Content-Length: " + body.length + "\r\n") + "\r\n";
            socket.getOutputStream().write(head.getBytes());
            if (body != null) socket.getOutputStream().write(body);
            answer = Http.readMessage(in, true);
        } catch (SocketTimeoutException e) {
            timedOut = connected;
        } catch (IOException e) {
            // Reported as a closed connection.
        }
        String connection = answer == null ? "close" : answer.field("Connection");
        if (answer == null || !answer.complete || "close".equalsIgnoreCase(connection)) close();
        return new Result(attempt, answer, connected, timedOut, kept, (System.nanoTime() - start) / 1_000_000);
    }

    @Override
    public void close() {
        try {
            if (socket != null) socket.close();
        } catch (IOException e) {
            // Nothing was to be sent any more.
        }
        socket = null;
    }

    private void connect() throws IOException {
        socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(ip, port), 1_000);
        in = new BufferedInputStream(socket.getInputStream());
    }
}
