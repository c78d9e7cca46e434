package review;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A worker of the platform. The spec of a job says what its tasks do: {@code ms=300} is their run time, and
 * {@code fails=a,b} names workers on which they fail after {@code failms}.
 */
final class Worker {
    /** Most ends that one answer lists. */
    private static final int LISTED_ENDS = 500;
    private static final int STOP_MILLIS = 100;
    private static final int STEP_MILLIS = 10;
    private static final int HEARTBEAT_MILLIS = 1_500;

    /** One run of a task. */
    static final class Run {
        final String task;
        final long number;
        final long startedAt = Record.millis();
        long endsAt;
        String result;
        long endedAt = -1;
        long endNumber;
        boolean acknowledged;
        final int life;
        final Worker worker;

        /** True if the worker's lease lapsed after this run had ended and before its end was taken note of. */
        boolean lapsedBeforeNote;

        Run(Worker worker, int life, String task, long number) {
            this.worker = worker;
            this.life = life;
            this.task = task;
            this.number = number;
        }

        boolean running() {
            return endedAt < 0;
        }
    }

    interface StartHook {
        /** Called with each start order before it is handled. */
        void onStart(Worker worker, String task, long run);
    }

    interface HoldHook {
        /** Called with each hold call before it is handled; {@code stopped} is the task of the last stop order, or null. */
        void onHold(Worker worker, String stopped, long waitMillis);
    }

    final String id;
    private final Settings settings;
    private final Store store;
    private final Record record;
    private final Http http;

    /** All runs of all lives, in the order of their starts. */
    private final List<Run> all;
    private volatile StartHook hook = (worker, task, run) -> { };
    private volatile HoldHook holdHook = (worker, stopped, wait) -> { };
    private volatile String lastStopped;
    private int life = 0;
    private long bornAt = Record.millis();
    private long bornUnix = System.currentTimeMillis();
    private long highestToken = 0;
    private long leaseUntil = 0;
    private long lastEnd = 0;
    private long sequence = 0;
    private boolean dark = false;
    private final Map<String, Long> closed = new HashMap<>();
    private final List<Run> running = new ArrayList<>();
    private final List<Run> ended = new ArrayList<>();

    /** When the last hold call arrived. */
    volatile long lastHoldAt = 0;
    volatile long lastCursor = 0;

    record Settings(String service, String zone, int cpu, int memory, List<String> labels, long maxHoldMillis) { }

    Worker(String id, Settings settings, Store store, Record record, List<Run> all) throws java.io.IOException {
        this.id = id;
        this.settings = settings;
        this.store = store;
        this.record = record;
        this.all = all;
        http = new Http(this::handle);
        register();
        Http.daemon(this::heartbeat);
        Http.daemon(this::work);
    }

    void onStart(StartHook newHook) {
        hook = newHook;
    }

    void onHold(HoldHook newHook) {
        holdHook = newHook;
    }

    /** The machine loses power; what ran is gone. */
    synchronized void losePower() {
        http.losePower();
        dark = true;
        long now = Record.millis();
        for (Run run : running) {
            run.result = "crashed";
            run.endedAt = now;
        }
        running.clear();
        ended.clear();
        record.line(id + " loses power");
        notifyAll();
    }

    /** The machine is back, under the same id and address; it knows nothing of before. */
    synchronized void powerOn() {
        life++;
        bornAt = Record.millis();
        bornUnix = System.currentTimeMillis();
        highestToken = 0;
        leaseUntil = 0;
        lastEnd = 0;
        closed.clear();
        dark = false;
        http.powerOn();
        record.line(id + " is back, life " + life);
    }

    private long clock() {
        return Record.millis() - bornAt;
    }

    private void heartbeat() {
        while (true) {
            sleep(HEARTBEAT_MILLIS);
            register();
        }
    }

    private synchronized void register() {
        if (dark || store.down) return;
        Map<String, Object> entry = new LinkedHashMap<>();
        entry.put("service", settings.service());
        entry.put("address", http.address());
        entry.put("zone", settings.zone());
        entry.put("version", "1");
        entry.put("slots", 8);
        entry.put("state", "ready");
        entry.put("capacity", Map.of("cpu", settings.cpu(), "mem_mb", settings.memory()));
        entry.put("labels", settings.labels());
        entry.put("born", bornUnix);
        entry.put("seq", ++sequence);
        store.put("keyed.servers", id, entry);
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Ends the runs that are over, and all runs when the lease lapses. */
    private void work() {
        while (true) {
            sleep(STEP_MILLIS);
            synchronized (this) {
                if (dark) continue;
                boolean lapsed = clock() > leaseUntil;
                if (lapsed) {
                    for (Run run : ended) run.lapsedBeforeNote = true;
                }
                for (Run run : new ArrayList<>(running)) {
                    if (lapsed) end(run, "lapsed");
                    else if (Record.millis() >= run.endsAt) end(run, run.result);
                }
            }
        }
    }

    private void end(Run run, String how) {
        run.result = how;
        run.endedAt = Record.millis();
        run.endNumber = ++lastEnd;
        running.remove(run);
        ended.add(run);
        closed.merge(run.task, run.number, Math::max);
        record.line(id + " end " + run.endNumber + " " + run.task + " run " + run.number + " " + how);
        notifyAll();
    }

    private Http.Response handle(Http.Request request) throws Exception {
        if (!id.equals(request.headers().get("x-anvilbarrow-target-instance"))) return Http.Response.json(421, Map.of());
        Map<String, Object> body = Json.object(request.text());
        if (request.path().equals("/v1/run-start")) {
            hook.onStart(this, (String) body.get("task"), Json.number(body, "run_id", 0));
        }
        if (request.path().equals("/v1/hold")) holdHook.onHold(this, lastStopped, Json.number(body, "wait_ms", 0));
        synchronized (this) {
            if (dark) return null;
            long token = Json.number(body, "fencing_token", 0);
            if (token < highestToken) return conflict("fence");
            highestToken = token;
            return switch (request.path()) {
                case "/v1/run-start" -> start(body);
                case "/v1/run-stop" -> stop(body);
                case "/v1/hold" -> hold(body);
                default -> Http.Response.json(404, Map.of());
            };
        }
    }

    private void lease(Map<String, Object> body) {
        long due = Json.number(body, "due_ms", 0);
        leaseUntil = Math.max(leaseUntil, Math.min(due, clock() + settings.maxHoldMillis()));
    }

    private Http.Response start(Map<String, Object> body) {
        String task = (String) body.get("task");
        long number = Json.number(body, "run_id", 0);
        if (Json.number(body, "due_ms", 0) <= clock()) return conflict("late");
        lease(body);
        if (running.stream().anyMatch(run -> run.task.equals(task) && run.number == number)) return answer(Map.of());
        if (number <= closed.getOrDefault(task, 0L)) return conflict("old");
        Run run = new Run(this, life, task, number);
        String spec = (String) body.get("spec");
        boolean fails = List.of(word(spec, "fails", "").split(",")).contains(id);
        run.result = fails ? "failed" : "done";
        run.endsAt = run.startedAt + Long.parseLong(fails ? word(spec, "failms", "100") : word(spec, "ms", "300"));
        running.add(run);
        synchronized (all) {
            all.add(run);
        }
        record.line(id + " start " + task + " run " + number);
        return answer(Map.of());
    }

    static String word(String spec, String key, String fallback) {
        for (String word : spec.split(" ")) {
            if (word.startsWith(key + "=")) return word.substring(key.length() + 1);
        }
        return fallback;
    }

    private Http.Response stop(Map<String, Object> body) {
        String task = (String) body.get("task");
        long number = Json.number(body, "run_id", 0);
        closed.merge(task, number, Math::max);
        lastStopped = task;
        for (Run run : running) {
            if (run.task.equals(task) && run.number == number) {
                run.result = "stopped";
                run.endsAt = Math.min(run.endsAt, Record.millis() + STOP_MILLIS);
            }
        }
        record.line(id + " stop " + task + " run " + number);
        return answer(Map.of());
    }

    private Http.Response hold(Map<String, Object> body) throws InterruptedException {
        lastHoldAt = Record.millis();
        lease(body);
        long cursor = Json.number(body, "ack_cursor", 0);
        lastCursor = cursor;
        for (Iterator<Run> runs = ended.iterator(); runs.hasNext(); ) {
            Run run = runs.next();
            if (run.endNumber > cursor) continue;
            run.acknowledged = true;
            runs.remove();
        }
        int held = life;
        long until = Record.millis() + Json.number(body, "wait_ms", 0);
        while (ended.isEmpty() && Record.millis() < until && life == held && !dark) wait(until - Record.millis() + 1);
        if (life != held || dark) return null;
        List<Object> runs = new ArrayList<>();
        for (Run run : running) {
            long whole = Math.max(1, run.endsAt - run.startedAt);
            runs.add(List.of(run.task, run.number, "", Math.min(99, (Record.millis() - run.startedAt) * 100 / whole), 0));
        }
        List<Object> ends = new ArrayList<>();
        for (Run run : ended.subList(0, Math.min(LISTED_ENDS, ended.size()))) {
            ends.add(List.of(run.endNumber, run.task, run.number, run.result, ""));
        }
        return answer(Map.of("running", runs, "ended_runs", ends));
    }

    private Http.Response conflict(String reason) {
        return Http.Response.json(409, Map.of("clock_ms", clock(), "born", bornUnix, "reason", reason));
    }

    private Http.Response answer(Map<String, Object> fields) {
        Map<String, Object> body = new LinkedHashMap<>(Map.of("clock_ms", clock(), "born", bornUnix));
        body.putAll(fields);
        return Http.Response.json(200, body);
    }

    synchronized int unacknowledgedEnds() {
        return ended.size();
    }
}
