import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicLong;

/** The advice service: allows each step on two of the workers, and handles one call at a time for each calling machine. */
final class Advice {
    private static final int PAIRS = 4;
    private static final long DECISION_MS = 450;
    private static final double PERIOD_MS = 6.4;
    private static final long VALID_MS = 2_500;
    static final String TERMS = "\"advice\":{\"decision_ms\":" + DECISION_MS + ",\"period_ms\":" + PERIOD_MS + ",\"valid_ms\":" + VALID_MS + "}";

    private static final class Ticket {
        final String step;
        final String worker;
        final long issuedNanos = System.nanoTime();

        Ticket(String step, String worker) {
            this.step = step;
            this.worker = worker;
        }
    }

    private final Record record;
    private final Map<String, Ticket> tickets = new ConcurrentHashMap<>();
    private final AtomicLong lastTicket = new AtomicLong();
    private final List<HttpServer> servers = new ArrayList<>();

    Advice(Record record) {
        this.record = record;
    }

    /** Returns an address for one machine, whose calls are handled in turn. */
    String listen() throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 256);
        server.setExecutor(Executors.newSingleThreadExecutor(Daemon::thread));
        server.createContext("/v1/advise", this::advise);
        server.start();
        servers.add(server);
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    private void advise(HttpExchange exchange) throws IOException {
        try {
            Map<String, Object> body = Json.object(new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8));
            String step = (String) body.get("step");
            List<?> workers = (List<?>) body.get("workers");
            Thread.sleep(Math.round(DECISION_MS + PERIOD_MS * workers.size()));
            List<Object> good = new ArrayList<>();
            for (Object worker : workers) if (isAllowed(step, (String) worker)) good.add(List.of(worker, issue(step, (String) worker)));
            record.line("advice: %s may run on %s of %d", step, good, workers.size());
            Map<String, Object> reply = new LinkedHashMap<>();
            reply.put("good", good);
            byte[] bytes = Json.write(reply).getBytes(StandardCharsets.UTF_8);
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.sendResponseHeaders(200, bytes.length);
            exchange.getResponseBody().write(bytes);
        } catch (IOException | InterruptedException e) {
            // The caller has gone.
        } finally {
            exchange.close();
        }
    }

    /** The steps of a job may run on one pair of eight workers, which its id tells. */
    private static boolean isAllowed(String step, String worker) {
        long job = Long.parseLong(step.substring(0, 16), 16);
        int number = Integer.parseInt(worker.substring(worker.indexOf('-') + 1)) - 1;
        return number / 2 == job % PAIRS;
    }

    private String issue(String step, String worker) {
        String ticket = "t" + lastTicket.incrementAndGet();
        tickets.put(ticket, new Ticket(step, worker));
        return ticket;
    }

    /** True if the ticket is valid for a task of its step on the worker. */
    boolean permits(String ticket, String task, String worker) {
        Ticket found = ticket == null ? null : tickets.get(ticket);
        return found != null && task.startsWith(found.step + ".") && worker.equals(found.worker)
            && System.nanoTime() - found.issuedNanos < VALID_MS * 1_000_000;
    }

    void close() {
        servers.forEach(server -> server.stop(0));
    }
}
