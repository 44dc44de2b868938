import java.io.IOException;
import java.io.OutputStream;

/** Behaviour of a model worker: hands out handles for prompts, and streams answers of a few events. */
final class Engine implements Worker.Behaviour {
    interface RunListener {
        void started(Worker worker, Http.Message request);
    }

    private final int events;
    private final long pauseMillis;
    private final RunListener listener;

    Engine(int events, long pauseMillis, RunListener listener) {
        this.events = events;
        this.pauseMillis = pauseMillis;
        this.listener = listener;
    }

    @Override
    public boolean answer(Worker worker, Http.Message request, OutputStream out) throws IOException {
        String target = request.firstLine.split(" ")[1];
        if (target.startsWith("/v1/")) return sendJson(worker, request, out, "{\"sequence\":0,\"busy\":false}");
        if ("prefill".equals(request.field("Anvilvalve-Serving-Stage"))) {
            Threads.sleep(20);
            String handle = Long.toHexString(Double.doubleToLongBits(Math.random()));
            return sendJson(worker, request, out, "{\"kvHandle\":\"" + handle + "\",\"tokens\":5000,\"version\":1}");
        }
        listener.started(worker, request);
        out.write((Worker.head(worker, request, 200)
            + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n").getBytes());
        for (int i = 1; i <= events; i++) {
            Threads.sleep(pauseMillis);
            String event = "id: " + i + "\ndata: token\n\n";
            out.write((Integer.toHexString(event.length()) + "\r\n" + event + "\r\n").getBytes());
            out.flush();
        }
        out.write("0\r\n\r\n".getBytes());
        out.flush();
        return true;
    }

    private static boolean sendJson(Worker worker, Http.Message request, OutputStream out, String body) throws IOException {
        String attempt = request.field("Anvilvalve-Attempt-Id");
        out.write(("HTTP/1.1 200 OK\r\n" + (attempt == null ? "" : "Anvilvalve-Attempt-Id: " + attempt + "\r\n")
            + "Content-Type: application/json\r\nContent-Length: " + body.length() + "\r\n\r\n" + body).getBytes());
        out.flush();
        return true;
    }
}
