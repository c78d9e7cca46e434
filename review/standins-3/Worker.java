import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;

/**
 * A worker as the pages describe it: runs tasks under a lease, fences by token, lists ends until they are acknowledged.
 *
 * The spec of a task is the time in milliseconds that it runs. While the worker is cut off, it runs on, but no call
 * reaches it and its heartbeats do not reach the store.
 */
final class Worker {
    private static final int HEARTBEAT_MS = 1_500;
    private static final int MISSED_HEARTBEATS = 3;
    private static final long MAX_HOLD_MS = 6_000;
    private static final int LISTED_ENDS = 500;

    /** One way from a machine in another region. */
    private static final int LINK_MS = 30;

    private static final class Run {
        final long number;
        final long endsAt;
        final long startedAt;

        Run(long number, long startedAt, long endsAt) {
            this.number = number;
            this.startedAt = startedAt;
            this.endsAt = endsAt;
        }
    }

    /** What happened to a task, for the checks of the case. */
    interface Events {
        void started(String task, long run, Worker worker);

        void ended(String task, long run, String how, Worker worker);

        void acknowledged(String task, long run, String how, Worker worker);
    }

    final String id;
    private final Store store;
    private final Record record;
    private final Events events;
    private final int cpu;
    private final int memory;
    private final HttpServer server;
    private final long born = System.currentTimeMillis();
    private final long startNanos = System.nanoTime();
    private final Map<String, Run> running = new LinkedHashMap<>();
    private final List<Object[]> ended = new ArrayList<>();
    private final Map<String, Long> closedRuns = new HashMap<>();
    private long lastEnd;
    private long highestToken;
    private long leaseUntil;
    private boolean listed;
    private long lastBeatMs = Long.MIN_VALUE / 2;

    /** Checks the tickets of starts, or null where the queue has no advice. */
    volatile Advice advice;
    private volatile boolean cut;
    private volatile boolean closed;

    Worker(String id, Store store, Record record, Events events, int cpu, int memory) throws IOException {
        this.id = id;
        this.store = store;
        this.record = record;
        this.events = events;
        this.cpu = cpu;
        this.memory = memory;
        server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 256);
        server.setExecutor(Executors.newCachedThreadPool(Daemon::thread));
        server.createContext("/v1/hold", e -> answer(e, "hold"));
        server.createContext("/v1/run-start", e -> answer(e, "start"));
        server.createContext("/v1/run-stop", e -> answer(e, "stop"));
        server.start();
        beat();
        Daemon.thread(this::live).start();
    }

    private long clock() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    boolean isIdle() {
        synchronized (this) {
            return running.isEmpty();
        }
    }

    /** The highest fencing token that the worker has seen. */
    synchronized long highestToken() {
        return highestToken;
    }

    void cutOff() {
        record.line("worker %s is cut off from all machines and from the store", id);
        cut = true;
    }

    void reconnect() {
        record.line("worker %s is reached again", id);
        cut = false;
    }

    void close() {
        closed = true;
        server.stop(0);
    }

    private void beat() {
        if (cut) return;
        lastBeatMs = clock();
        if (listed) return;
        listed = true;
        String address = "127.0.0.1:" + server.getAddress().getPort();
        store.put("keyed.servers", id, "{\"service\":\"pool\",\"address\":\"" + address + "\",\"zone\":\"zb\",\"state\":\"ready\","
            + "\"version\":\"1\",\"slots\":8,\"seq\":1,\"born\":" + born + ",\"cold_remaining_ms\":0,\"capacity\":{\"cpu\":" + cpu
            + ",\"mem_mb\":" + memory + "},\"labels\":[\"a\",\"rack-1\"]}");
        record.line("store: %s is listed", id);
    }

    /** Ends runs in time, sends heartbeats, and lets the entry expire without them. */
    private void live() {
        long nextBeat = HEARTBEAT_MS;
        while (!closed) {
            try {
                Thread.sleep(5);
            } catch (InterruptedException e) {
                return;
            }
            synchronized (this) {
                settle();
            }
            if (clock() >= nextBeat) {
                nextBeat += HEARTBEAT_MS;
                beat();
            }
            if (listed && clock() - lastBeatMs > (long) MISSED_HEARTBEATS * HEARTBEAT_MS) {
                listed = false;
                store.put("keyed.servers", id, null);
                record.line("store: the entry of %s has expired", id);
            }
        }
    }

    private void settle() {
        long now = clock();
        for (String task : new ArrayList<>(running.keySet())) {
            if (running.get(task).endsAt <= now) end(task, "done");
        }
        if (now > leaseUntil) {
            for (String task : new ArrayList<>(running.keySet())) end(task, "lapsed");
        }
    }

    private void end(String task, String how) {
        Run run = running.remove(task);
        closedRuns.merge(task, run.number, Math::max);
        lastEnd++;
        ended.add(new Object[] {lastEnd, task, run.number, how, ""});
        record.line("worker %s: %s run %d ended %s", id, task, run.number, how);
        events.ended(task, run.number, how, this);
        notifyAll();
    }

    private void answer(HttpExchange exchange, String call) throws IOException {
        String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        try {
            // A request or response that is sent during the cut is lost, and the connection stays silent.
            if (cut) {
                hang();
                return;
            }
            Thread.sleep(LINK_MS);
            Object[] reply;
            if (!id.equals(exchange.getRequestHeaders().getFirst("X-Anvilbarrow-Target-Instance"))) {
                reply = new Object[] {421, new LinkedHashMap<String, Object>()};
            } else {
                reply = carryOut(call, Json.object(body));
            }
            Thread.sleep(LINK_MS);
            if (cut) {
                hang();
                return;
            }
            byte[] bytes = Json.write(reply[1]).getBytes(StandardCharsets.UTF_8);
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.sendResponseHeaders((int) reply[0], bytes.length);
            exchange.getResponseBody().write(bytes);
        } catch (Exception e) {
            // The caller has gone.
        } finally {
            exchange.close();
        }
    }

    private void hang() throws InterruptedException {
        while (cut && !closed) Thread.sleep(20);
    }

    private synchronized Object[] carryOut(String call, Map<String, Object> body) throws InterruptedException {
        settle();
        long token = (Long) body.getOrDefault("fencing_token", 0L);
        if (token < highestToken) {
            record.line("worker %s: %s with token %d refused, highest is %d", id, call, token, highestToken);
            return conflict("fence");
        }
        if (token > highestToken) record.line("worker %s: token %d", id, token);
        highestToken = token;
        switch (call) {
            case "hold": return hold(body);
            case "start": return start(body);
            default: return stop(body);
        }
    }

    private void extendLease(Map<String, Object> body) {
        Object due = body.get("due_ms");
        if (due != null) leaseUntil = Math.max(leaseUntil, Math.min((Long) due, clock() + MAX_HOLD_MS));
    }

    private Object[] hold(Map<String, Object> body) throws InterruptedException {
        extendLease(body);
        long cursor = (Long) body.getOrDefault("ack_cursor", 0L);
        ended.removeIf(row -> {
            boolean acknowledged = (Long) row[0] <= cursor;
            if (acknowledged) events.acknowledged((String) row[1], (Long) row[2], (String) row[3], this);
            return acknowledged;
        });
        long until = clock() + Math.min(2_000, (Long) body.getOrDefault("wait_ms", 0L));
        while (ended.isEmpty() && clock() < until) wait(Math.max(1, until - clock()));
        List<Object> runningRows = new ArrayList<>();
        long now = clock();
        running.forEach((task, run) -> {
            long length = Math.max(1, run.endsAt - run.startedAt);
            long percent = Math.min(99, 100 * (now - run.startedAt) / length);
            runningRows.add(List.of(task, run.number, "", percent));
        });
        List<Object> endedRows = new ArrayList<>();
        for (Object[] row : ended.subList(0, Math.min(LISTED_ENDS, ended.size()))) endedRows.add(List.of(row));
        Map<String, Object> reply = reply();
        reply.put("running", runningRows);
        reply.put("ended_runs", endedRows);
        return new Object[] {200, reply};
    }

    private Object[] start(Map<String, Object> body) {
        String task = (String) body.get("task");
        long number = (Long) body.get("run_id");
        if ((Long) body.get("due_ms") < clock()) return conflict("late");
        extendLease(body);
        if (number <= closedRuns.getOrDefault(task, 0L)) return conflict("old");
        if (advice != null && !advice.permits((String) body.get("ticket"), task, id)) {
            record.line("worker %s: %s run %d rejected, the ticket is not for it", id, task, number);
            return conflict("ticket");
        }
        if (!running.containsKey(task)) {
            running.put(task, new Run(number, clock(), clock() + Long.parseLong((String) body.get("spec"))));
            record.line("worker %s: %s run %d starts, token %d", id, task, number, highestToken);
            events.started(task, number, this);
        }
        return new Object[] {200, reply()};
    }

    private Object[] stop(Map<String, Object> body) {
        String task = (String) body.get("task");
        long number = (Long) body.get("run_id");
        closedRuns.merge(task, number, Math::max);
        Run run = running.get(task);
        if (run != null && run.number <= number) end(task, "stopped");
        return new Object[] {200, reply()};
    }

    private Map<String, Object> reply() {
        Map<String, Object> reply = new LinkedHashMap<>();
        reply.put("clock_ms", clock());
        reply.put("born", born);
        return reply;
    }

    private Object[] conflict(String reason) {
        Map<String, Object> reply = reply();
        reply.put("reason", reason);
        return new Object[] {409, reply};
    }
}
