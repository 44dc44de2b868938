import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.Random;
import java.util.stream.Stream;

/** Frame of a case: exits with 1 if a rule was broken, 0 if it held, and 2 if the case could not run. */
abstract class Case {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;

    /** Loopback addresses of this run begin with this. */
    final String net = "127." + (64 + new Random().nextInt(128)) + "." + (1 + new Random().nextInt(250)) + ".";
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Path root;
    Path work;
    Journal journal;

    abstract int run() throws Exception;

    /** @param args the root of the repository and the folder of the case. */
    static void main(Case test, String[] args) {
        int code = NOT_RUN;
        try {
            test.root = Path.of(args[0]);
            test.work = Files.createTempDirectory("case");
            test.journal = new Journal(Path.of(args[1]).resolve("record.txt"));
            code = test.run();
            test.journal.write(code == BROKEN ? "the rule was broken" : code == HELD ? "the rule held" : "not run");
            test.journal.close();
        } catch (Exception e) {
            e.printStackTrace();
        }
        delete(test.work);
        System.exit(code);
    }

    private static void delete(Path folder) {
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) Files.delete(file);
        } catch (IOException e) {
            System.err.println("not deleted: " + e.getMessage());
        }
    }
}
