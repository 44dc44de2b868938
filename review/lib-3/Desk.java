import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** Workers of a plain service `desk`, and a configuration with one route to it. */
final class Desk {
    static final String HOST = "desk.example";
    static final String PATH = "/loan/1";
    static final String KEY = "Authorization: Bearer key-1\r\n";

    private Desk() {}

    static List<Worker> start(Store store, String net, int count, Worker.Behaviour behaviour) throws IOException {
        List<Worker> workers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            workers.add(new Worker(store, net + (10 + i), "i-" + i, "desk", "tacoma", 6, null, behaviour));
        }
        return workers;
    }

    static String configuration(int version, String kind, int timeoutMs, int maxAttempts) {
        return "{\"version\":" + version + ",\"routes\":[{\"name\":\"loan\",\"host\":\"" + HOST
            + "\",\"pathPrefix\":\"/loan/\",\"routeKind\":\"" + kind + "\",\"timeoutMs\":" + timeoutMs
            + ",\"targetLatencyMs\":386,\"priority\":2,\"service\":\"desk\",\"maxAttempts\":" + maxAttempts
            + "}],\"services\":[{\"name\":\"desk\",\"maxConnections\":100,\"healthPath\":\"/healthz\"}],"
            + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
            + "\"idleTimeoutMs\":20000},\"tenants\":[{\"name\":\"t1\",\"apiKeys\":[\"key-1\"]}]}";
    }
}
