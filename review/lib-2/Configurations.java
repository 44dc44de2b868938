/** Configurations as an operator of a small deployment writes them. */
final class Configurations {
    static final String HOST = "ficu95.example";
    static final String KEY = "3d3zji9n73hh2b9wu3fe";

    private Configurations() {}

    /** Summaries (`/sum/`, streams), loans (`/loan/`, unsafe) and lookups (`/look/`, safe) for one organisation. */
    static String small(int version) {
        String rest = "\"public\":false,\"sticky\":false,\"resumable\":false}";
        return "{\"version\":" + version + ",\"routes\":["
            + "{\"name\":\"r-sum\",\"host\":\"" + HOST + "\",\"pathPrefix\":\"/sum/\",\"routeKind\":\"streaming\","
            + "\"timeoutMs\":14000,\"targetLatencyMs\":900,\"targetGapMs\":300,\"priority\":1,\"service\":\"map-reader\","
            + "\"maxAttempts\":1," + rest + ","
            + "{\"name\":\"r-deed\",\"host\":\"" + HOST + "\",\"pathPrefix\":\"/deed/\",\"routeKind\":\"streaming\","
            + "\"timeoutMs\":14000,\"targetLatencyMs\":900,\"targetGapMs\":300,\"priority\":1,\"service\":\"map-reader\","
            + "\"maxAttempts\":2,\"public\":false,\"sticky\":true,\"resumable\":true},"
            + "{\"name\":\"r-loan\",\"host\":\"" + HOST + "\",\"pathPrefix\":\"/loan/\",\"routeKind\":\"unsafe\","
            + "\"timeoutMs\":2000,\"targetLatencyMs\":300,\"priority\":2,\"service\":\"drawer-desk\","
            + "\"maxAttempts\":1," + rest + ","
            + "{\"name\":\"r-look\",\"host\":\"" + HOST + "\",\"pathPrefix\":\"/look/\",\"routeKind\":\"safe\","
            + "\"timeoutMs\":2000,\"targetLatencyMs\":300,\"priority\":2,\"service\":\"drawer-desk\","
            + "\"maxAttempts\":2," + rest
            + "],\"services\":["
            + "{\"name\":\"map-reader\",\"healthPath\":\"/healthz\",\"maxConnections\":300,\"protocol\":\"h1\",\"tls\":false,"
            + "\"engine\":{\"slots\":48,\"kvCapacity\":76160,\"kvBytes\":163840,\"linkMbps\":4800000.0,\"moves\":true,"
            + "\"backups\":true,\"stride\":77,\"most\":12,\"kvRetentionS\":0.5,\"switchS\":6.0,\"pinMs\":4000.0,"
            + "\"holdMs\":2000.0,\"models\":[{\"name\":\"m\"}]}},"
            + "{\"name\":\"drawer-desk\",\"healthPath\":\"/healthz\",\"maxConnections\":100,\"protocol\":\"h1\",\"tls\":false}"
            + "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
            + "\"idleTimeoutMs\":15000},"
            + "\"tenants\":[{\"name\":\"huka270\",\"apiKeys\":[\"" + KEY + "\"],\"priority\":1,\"unit\":\"token_stream\","
            + "\"uncachedTokens\":200,\"ratePerS\":1000000,\"burst\":1000000}]}";
    }

    /** Head of a proper request; the body has [length] bytes. */
    static String request(String method, String path, String id, int deadlineMs, int length, String more) {
        return method + " " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\nAnvilvalve-Attempt-Id: " + id
            + "\r\nAnvilvalve-Deadline-Ms: " + deadlineMs + "\r\nAuthorization: Bearer " + KEY + "\r\n" + more
            + (length > 0 ? "Content-Length: " + length + "\r\n" : "") + "\r\n";
    }
}
