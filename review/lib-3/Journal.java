import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what happens in a case to its record, with the milliseconds since the start. */
final class Journal implements AutoCloseable {
    private final PrintWriter out;
    private final long start = System.nanoTime();

    Journal(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    synchronized void write(String text) {
        out.printf("%7d %s%n", (System.nanoTime() - start) / 1_000_000, text);
        out.flush();
    }

    @Override
    public void close() {
        out.close();
    }
}
