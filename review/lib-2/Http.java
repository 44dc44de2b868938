import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads and writes HTTP/1.1 messages on plain sockets. */
final class Http {
    /** A message: its first line, its headers with names in lower case, and its body. */
    static final class Message {
        String start = "";
        final Map<String, String> head = new LinkedHashMap<>();
        byte[] body = new byte[0];
        boolean complete = true;

        int status() {
            return start.startsWith("HTTP/1.1 ") ? Integer.parseInt(start.substring(9, 12)) : -1;
        }
    }

    private Http() {}

    static Message readHead(InputStream in) throws IOException {
        Message m = new Message();
        m.start = line(in);
        for (String l = line(in); !l.isEmpty(); l = line(in)) {
            int i = l.indexOf(':');
            m.head.put(l.substring(0, i).toLowerCase(Locale.ROOT), l.substring(i + 1).trim());
        }
        return m;
    }

    /** Reads a message with a length, chunks, or, if [toEnd], the end of the connection. */
    static Message read(InputStream in, boolean toEnd) throws IOException {
        Message m = readHead(in);
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try {
            if (m.head.containsKey("content-length")) {
                int n = Integer.parseInt(m.head.get("content-length"));
                byte[] b = in.readNBytes(n);
                out.write(b);
                m.complete = b.length == n;
            } else if ("chunked".equalsIgnoreCase(m.head.get("transfer-encoding"))) {
                while (true) {
                    int n = Integer.parseInt(line(in).split(";")[0].trim(), 16);
                    byte[] b = in.readNBytes(n);
                    out.write(b);
                    if (b.length < n) throw new EOFException();
                    line(in);
                    if (n == 0) break;
                }
            } else if (toEnd) {
                in.transferTo(out);
            }
        } catch (IOException | NumberFormatException e) {
            m.complete = false;
        }
        m.body = out.toByteArray();
        return m;
    }

    static String line(InputStream in) throws IOException {
        StringBuilder s = new StringBuilder();
        while (true) {
            int c = in.read();
            if (c < 0) throw new EOFException(s.toString());
            if (c == '\n') break;
            if (c != '\r') s.append((char) c);
        }
        return s.toString();
    }

    /** A connection of a client that is kept for several requests. */
    static final class Kept implements AutoCloseable {
        private final Socket socket = new Socket();
        private final InputStream in;
        int answered;

        Kept(String address, int timeoutMs) throws IOException {
            String[] at = address.split(":");
            socket.connect(new InetSocketAddress(at[0], Integer.parseInt(at[1])), 1_000);
            socket.setSoTimeout(timeoutMs);
            socket.setTcpNoDelay(true);
            in = new java.io.BufferedInputStream(socket.getInputStream());
        }

        Message exchange(String request) throws IOException {
            socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().flush();
            Message m = read(in, true);
            if (m.complete) answered++;
            return m;
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /** Sends [request] on a new connection and reads the answer; a failure is an answer with the first line `closed`. */
    static Message exchange(String address, String request, byte[] body, int timeoutMs) {
        String[] at = address.split(":");
        try (Socket s = new Socket()) {
            s.connect(new InetSocketAddress(at[0], Integer.parseInt(at[1])), 1_000);
            s.setSoTimeout(timeoutMs);
            s.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            s.getOutputStream().write(body);
            s.getOutputStream().flush();
            return read(new java.io.BufferedInputStream(s.getInputStream()), true);
        } catch (IOException e) {
            Message m = new Message();
            m.start = "closed " + e;
            m.complete = false;
            return m;
        }
    }
}
