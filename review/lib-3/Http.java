import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Reads HTTP/1.1 messages. */
final class Http {
    private Http() {}

    /** A message with its whole body; [complete] is false if the connection ended before the message did. */
    static final class Message {
        String firstLine;
        final List<String[]> fields = new ArrayList<>();
        byte[] body = new byte[0];
        boolean complete = true;

        String field(String name) {
            for (String[] field : fields) if (field[0].equalsIgnoreCase(name)) return field[1];
            return null;
        }

        int status() {
            return Integer.parseInt(firstLine.split(" ")[1]);
        }
    }

    /** Reads a message that has a length, chunks or no body; null if the connection ends before its first byte. */
    static Message readMessage(InputStream in) throws IOException {
        return readMessage(in, false);
    }

    static Message readMessage(InputStream in, boolean endsWithConnection) throws IOException {
        String first = readLine(in);
        if (first == null) return null;
        Message message = new Message();
        message.firstLine = first;
        for (String line = requireLine(in); !line.isEmpty(); line = requireLine(in)) {
            int colon = line.indexOf(':');
            message.fields.add(new String[] {line.substring(0, colon).trim(), line.substring(colon + 1).trim()});
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        try {
            readBody(in, message, body, endsWithConnection);
        } catch (IOException e) {
            message.complete = false;
        }
        message.body = body.toByteArray();
        return message;
    }

    static Map<String, String> query(String target) {
        Map<String, String> values = new HashMap<>();
        int start = target.indexOf('?');
        if (start < 0) return values;
        for (String pair : target.substring(start + 1).split("&")) {
            int equals = pair.indexOf('=');
            values.put(pair.substring(0, equals), URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
        }
        return values;
    }

    private static void readBody(InputStream in, Message message, ByteArrayOutputStream body, boolean endsWithConnection)
        throws IOException {
        String length = message.field("Content-Length");
        if (message.field("Transfer-Encoding") != null) {
            while (true) {
                int size = Integer.parseInt(requireLine(in).split(";")[0].trim(), 16);
                copy(in, body, size);
                requireLine(in);
                if (size == 0) return;
            }
        } else if (length != null) {
            copy(in, body, Integer.parseInt(length));
        } else if (endsWithConnection) {
            in.transferTo(body);
        }
    }

    private static void copy(InputStream in, ByteArrayOutputStream out, int size) throws IOException {
        byte[] buffer = new byte[8192];
        int left = size;
        while (left > 0) {
            int count = in.read(buffer, 0, Math.min(left, buffer.length));
            if (count < 0) throw new EOFException();
            out.write(buffer, 0, count);
            left -= count;
        }
    }

    private static String requireLine(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) throw new EOFException();
        return line;
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int next = in.read();
            if (next < 0) {
                if (line.size() == 0) return null;
                throw new EOFException();
            }
            if (next == '\n') {
                String text = line.toString(StandardCharsets.ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            line.write(next);
        }
    }
}
