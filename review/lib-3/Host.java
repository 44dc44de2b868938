import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A daemon of the project as a process, started with the command and the settings template of the deploy file. */
final class Host implements AutoCloseable {
    private final Path root;
    private final Path settings;
    private final File log;
    private final String ip;
    private final int frontend;
    private final int readiness;
    private Process process;

    /**
     * @param ip loopback address of the host's machine.
     * @param directory folder for the settings and the log of the process.
     */
    Host(Path root, Path directory, String name, String ip, String zone, String store) throws IOException {
        this.root = root;
        this.ip = ip;
        frontend = freePort(ip);
        readiness = freePort(ip);
        settings = directory.resolve(name + ".ini");
        log = directory.resolve(name + ".log").toFile();
        Map<String, String> values = new HashMap<>();
        values.put("limits.maxFds", "4100");
        values.put("limits.memoryMb", "280");
        values.put("limits.cpuShare", "0.75");
        values.put("limits.cores", "1");
        values.put("nodeName", name);
        values.put("zone", zone);
        values.put("region", "pnw");
        values.put("ip", ip);
        values.put("platform.address", store);
        values.put("listen.frontend", ip + ":" + frontend);
        values.put("listen.readiness", ip + ":" + readiness);
        values.put("internalPortRange.0", "" + freePort(ip));
        values.put("bounds.retryBudgetRatio", "0.2");
        values.put("bounds.retryBudgetExtra", "54");
        values.put("bounds.retryWindowS", "10");
        values.put("bounds.quotaWindowS", "8");
        values.put("bounds.quotaOvershoot", "0.1");
        values.put("bounds.quotaSlack", "120000");
        values.put("bounds.leaseMs", "3000");
        values.put("bounds.graceS", "8");
        Files.writeString(settings, render(Files.readString(root.resolve("deploy/anvilvalve.ini")), values));
    }

    void start() throws IOException {
        String deploy = Files.readString(root.resolve("deploy/system.toml"));
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(deploy);
        if (!run.find()) throw new IOException("deploy/system.toml has no run line");
        ProcessBuilder builder = new ProcessBuilder(Arrays.asList(run.group(1).split(" ")));
        builder.directory(root.toFile());
        builder.environment().put("ANVILVALVE_BOOT", settings.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        process = builder.start();
        // A script that is stopped must not leave its processes behind.
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    /** Waits until the host says that it is ready; returns whether it did in [millis]. */
    boolean awaitReady(long millis) {
        long end = System.nanoTime() + millis * 1_000_000;
        while (System.nanoTime() < end) {
            if (readiness() == 200) return true;
            Threads.sleep(100);
        }
        return false;
    }

    /** Status of the readiness probe; -1 without an answer within one second. */
    int readiness() {
        try (Socket socket = new Socket(ip, readiness)) {
            socket.setSoTimeout(1_000);
            socket.getOutputStream().write(("GET /v1/readyz HTTP/1.1\r\nHost: " + ip + "\r\n\r\n").getBytes());
            Http.Message answer = Http.readMessage(socket.getInputStream());
            return answer == null ? -1 : answer.status();
        } catch (IOException e) {
            return -1;
        }
    }

    String ip() {
        return ip;
    }

    int frontend() {
        return frontend;
    }

    boolean isAlive() {
        return process.isAlive();
    }

    int exitCode() {
        return process.exitValue();
    }

    long pid() {
        return process.pid();
    }

    void kill() {
        process.destroyForcibly();
        try {
            process.waitFor();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    void signal(String name) throws IOException {
        try {
            new ProcessBuilder("kill", "-" + name, "" + process.pid()).start().waitFor();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Lines of the log that contain [text]. */
    List<String> logLines(String text) throws IOException {
        return Files.readAllLines(log.toPath()).stream().filter(line -> line.contains(text)).toList();
    }

    @Override
    public void close() {
        if (process != null) kill();
    }

    private static int freePort(String ip) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
            return socket.getLocalPort();
        }
    }

    private static String render(String template, Map<String, String> values) {
        String text = template.replaceAll("(?s)\\{\\{#zones}}.*\\{\\{/zones}}", "tacoma = pnw\nolympia = pnw");
        Matcher matcher = Pattern.compile("\\{\\{([^}]*)}}").matcher(text);
        return matcher.replaceAll(match -> Matcher.quoteReplacement(values.getOrDefault(match.group(1), "")));
    }
}
