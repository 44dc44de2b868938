import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A host of the project, started with the command of the deploy file and settings made from its template. */
final class Host implements AutoCloseable {
    final String callers;
    final String readiness;
    final Path log;
    private final ProcessBuilder builder;
    private Process process;

    Host(Path root, Path folder, Store store, String id) throws IOException {
        int[] ports = new int[4];
        List<java.net.ServerSocket> held = new ArrayList<>();
        for (int i = 0; i < ports.length; i++) {
            held.add(new java.net.ServerSocket(0, 1, java.net.InetAddress.getByName("127.0.0.1")));
            ports[i] = held.get(i).getLocalPort();
        }
        for (java.net.ServerSocket s : held) s.close();
        callers = "127.0.0.1:" + ports[0];
        readiness = "127.0.0.1:" + ports[1];
        String text = Files.readString(root.resolve("deploy/anvilvalve.ini"));
        text = text.replaceAll("(?s)\\{\\{#zones\\}\\}.*?\\{\\{/zones\\}\\}", "tacoma = pnw");
        String[][] values = {
            {"limits.maxFds", "4100"}, {"limits.memoryMb", "280"}, {"limits.cpuShare", "0.75"}, {"limits.cores", "1"},
            {"nodeName", id}, {"zone", "tacoma"}, {"region", "pnw"}, {"ip", "127.0.0.1"},
            {"platform.address", store.address}, {"listen.frontend", callers}, {"listen.readiness", readiness},
            {"bounds.retryBudgetRatio", "0.2"}, {"bounds.retryBudgetExtra", "54"}, {"bounds.retryWindowS", "10"},
            {"bounds.quotaWindowS", "8"}, {"bounds.quotaOvershoot", "0.1"}, {"bounds.quotaSlack", "120000"},
            {"bounds.leaseMs", "3000"}, {"bounds.graceS", "8"}, {"internalPortRange.0", "" + ports[2]},
        };
        for (String[] v : values) text = text.replace("{{" + v[0] + "}}", v[1]);
        text = text.replaceAll("\\{\\{[^}]*\\}\\}", "");
        // The port of the metrics is fixed in the deploy file; here a free one is used.
        text = text.replace("[operations]\n", "[operations]\nmetrics_port = " + ports[3] + "\n");
        Path ini = folder.resolve(id + ".ini");
        Files.writeString(ini, text);
        log = folder.resolve(id + ".log");
        builder = new ProcessBuilder(command(root)).directory(root.toFile());
        builder.environment().keySet().removeIf(k -> !List.of("PATH", "HOME", "JAVA_HOME", "LANG").contains(k));
        builder.environment().put("ANVILVALVE_BOOT", ini.toString());
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(new File(log.toString())));
        process = builder.start();
        // Also if the script is stopped.
        Runtime.getRuntime().addShutdownHook(new Thread(() -> process.destroyForcibly()));
    }

    /** Starts the process again, with the same settings. */
    void restart() throws IOException {
        process = builder.start();
    }

    private static List<String> command(Path root) throws IOException {
        Matcher m = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(root.resolve("deploy/system.toml")));
        if (!m.find()) throw new IOException("no run line");
        return List.of(m.group(1).split(" "));
    }

    boolean isReady() {
        String request = "GET /v1/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        return Http.exchange(readiness, request, new byte[0], 1_000).status() == 200;
    }

    boolean awaitReady(int seconds) throws InterruptedException {
        for (int i = 0; i < seconds * 10; i++) {
            if (isReady()) return true;
            if (!process.isAlive()) return false;
            Thread.sleep(100);
        }
        return false;
    }

    boolean isAlive() {
        return process.isAlive();
    }

    long pid() {
        return process.pid();
    }

    /** Exit status, or null while the process runs. */
    Integer exit() {
        return process.isAlive() ? null : process.exitValue();
    }

    /** Resident memory in KiB, now (`VmRSS`) or at its greatest (`VmHWM`); -1 if the process has ended. */
    long residentKib(String field) {
        try {
            for (String l : Files.readAllLines(Path.of("/proc/" + pid() + "/status"))) {
                if (l.startsWith(field + ":")) return Long.parseLong(l.replaceAll("\\D", ""));
            }
        } catch (IOException e) {
            // The process has ended.
        }
        return -1;
    }

    /** Bytes that the kernel has received on the callers' connections and the process has not read. */
    long unreadBytes() throws IOException {
        String port = String.format(":%04X", Integer.parseInt(callers.split(":")[1]));
        long sum = 0;
        for (String file : List.of("/proc/net/tcp", "/proc/net/tcp6")) {
            if (!Files.exists(Path.of(file))) continue;
            for (String l : Files.readAllLines(Path.of(file))) {
                String[] w = l.trim().split("\\s+");
                boolean isListening = w[3].equals("0A");
                if (w[1].endsWith(port) && !isListening) sum += Long.parseLong(w[4].split(":")[1], 16);
            }
        }
        return sum;
    }

    @Override
    public void close() {
        process.destroyForcibly();
        try {
            process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
