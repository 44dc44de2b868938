import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** What a case sent, got and ran, line by line with the milliseconds since its start. */
final class Record implements AutoCloseable {
    private final long start = System.nanoTime();
    private final PrintWriter out;

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    /** Milliseconds since the start of the case. */
    long now() {
        return (System.nanoTime() - start) / 1_000_000L;
    }

    synchronized void line(String text) {
        out.println(String.format("%7d %s", now(), text));
    }

    /** A line that is also shown to whoever runs the case. */
    void say(String text) {
        line(text);
        System.out.println(text);
    }

    @Override
    public void close() {
        out.close();
    }
}
