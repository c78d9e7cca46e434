import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** One worker: runs tasks under leases, keeps fences, lists runs and their ends. */
final class Worker implements AutoCloseable {
    static final class Run {
        final Worker worker;
        final String task;
        final long number;
        final Platform.Step step;
        final long startedAt = System.nanoTime();
        /** When the run began its work: at once, or for a gang once all members are there; 0 before that. */
        long workSince;
        long endedAt;
        /** How the run ended, or null while it goes on. */
        String end;
        boolean noted;

        Run(Worker worker, String task, long number, Platform.Step step) {
            this.worker = worker;
            this.task = task;
            this.number = number;
            this.step = step;
            this.workSince = step.gang ? 0 : startedAt;
        }

        long workedMs() {
            return workSince == 0 ? 0 : (System.nanoTime() - workSince) / 1_000_000;
        }

        long percent() {
            if (step.lasting) return workedMs() >= STARTUP_MS ? 100 : 0;
            return Math.min(100, workedMs() * 100 / Math.max(1, step.workMs));
        }

        String saved() {
            if (!step.checkpoints || workedMs() < Platform.CHECKPOINT_MS) return "";
            return String.format("%016x", workedMs() / Platform.CHECKPOINT_MS);
        }
    }

    static final long STARTUP_MS = 300;
    private static final long CLOCK_AT_START_MS = 100_000;
    private static final int LISTED_ENDS = 500;

    /** A machine without power answers nothing; callers give up long before this. */
    private static final long SILENCE_MS = 120_000;
    private static final long MISSED_BEATS = 3;

    final String id;
    final long cpu;
    final Map<String, Run> running = new LinkedHashMap<>();
    private final Platform platform;
    private final String service;
    private final String kind;
    private final String rack;
    private final long memMb;
    private final Map<Long, Run> ends = new LinkedHashMap<>();
    private final Map<String, Long> closedRuns = new HashMap<>();
    private long lastEnd;
    private long highestToken;
    private long dueMs;
    private long bornMs;
    private long bornAt;
    private long seq;
    private HttpServer server;
    private volatile boolean up;
    private volatile boolean dark;
    private volatile boolean cutOff;

    Worker(Platform platform, String id, String service, String kind, String rack, long cpu, long memMb) {
        this.platform = platform;
        this.id = id;
        this.service = service;
        this.kind = kind;
        this.rack = rack;
        this.cpu = cpu;
        this.memMb = memMb;
    }

    void start() throws IOException {
        bornMs = System.currentTimeMillis();
        bornAt = System.nanoTime();
        up = true;
        server = Web.serve(0, this::handle);
        Thread heart = new Thread(this::beat, "beat-" + id);
        heart.setDaemon(true);
        heart.start();
    }

    int port() {
        return server.getAddress().getPort();
    }

    boolean isDark() {
        return dark;
    }

    long usedCpu() {
        return running.values().stream().mapToLong(run -> run.step.cpu).sum();
    }

    private void beat() {
        while (up) {
            seq++;
            if (!cutOff) platform.store.put("keyed.servers", id, Json.write(Json.map(
                    "service", service, "address", Web.HOST + ":" + port(), "zone", "zone-a", "version", "v1",
                    "slots", 8L, "state", "ready", "cold_remaining_ms", 0L, "seq", seq, "born", bornMs,
                    "capacity", Json.map("cpu", cpu, "mem_mb", memMb, "gpu", 0L), "labels", List.of(kind, rack),
                    "clock_ms", clock())));
            try {
                Thread.sleep(Platform.HEARTBEAT_MS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private long clock() {
        return CLOCK_AT_START_MS + (System.nanoTime() - bornAt) / 1_000_000;
    }

    private void handle(HttpExchange exchange, Map<String, String> query) throws Exception {
        String path = exchange.getRequestURI().getPath();
        if (dark || cutOff) {
            Thread.sleep(SILENCE_MS);
            return;
        }
        if (path.equals("/health")) {
            Web.answer(exchange, 200, "{}");
            return;
        }
        String target = exchange.getRequestHeaders().getFirst("X-Anvilbarrow-Target-Instance");
        Map<String, Object> body =
                Json.object(new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8));
        if (target != null && !target.equals(id)) {
            Web.answer(exchange, 421, "{}");
            return;
        }
        Map<String, Object> answer = Json.map();
        int status;
        synchronized (platform) {
            status = switch (path) {
                case "/v1/run-start" -> startRun(body, answer);
                case "/v1/run-stop" -> stopRun(body, answer);
                case "/v1/hold" -> hold(body, answer);
                default -> 404;
            };
            answer.put("clock_ms", clock());
            answer.put("born", bornMs);
        }
        if (status == 0) {
            Thread.sleep(SILENCE_MS);
            return;
        }
        Web.answer(exchange, status, Json.write(answer));
    }

    private boolean isFenced(Map<String, Object> body, Map<String, Object> answer) {
        long token = Json.number(body, "fencing_token", 0);
        if (token < highestToken) {
            answer.put("reason", "fence");
            return true;
        }
        highestToken = token;
        return false;
    }

    private void extend(Map<String, Object> body) {
        long due = Math.min(Json.number(body, "due_ms", 0), clock() + Platform.MAX_HOLD_MS);
        dueMs = Math.max(dueMs, due);
    }

    private int startRun(Map<String, Object> body, Map<String, Object> answer) {
        if (isFenced(body, answer)) return 409;
        String task = Json.text(body, "task", "");
        long number = Json.number(body, "run_id", 0);
        if (Json.number(body, "due_ms", 0) <= clock()) {
            answer.put("reason", "late");
            return 409;
        }
        extend(body);
        Run there = running.get(task);
        if (there != null && there.number == number) return 200;
        if (number <= closedRuns.getOrDefault(task, 0L) || there != null) {
            answer.put("reason", "old");
            return 409;
        }
        Platform.Step step = platform.stepOf(task);
        if (step == null) {
            platform.record.broken("UNASKED", id + " is told to start " + task + ", which no client sent");
            return 400;
        }
        if (!platform.jobOf(task).spec.equals(Json.text(body, "spec", ""))) {
            platform.record.broken("UNASKED", id + " is told to start " + task + " with another spec");
        }
        Run run = new Run(this, task, number, step);
        running.put(task, run);
        platform.record.line(id + " starts " + task + " run " + number);
        platform.started(run);
        return 200;
    }

    private int stopRun(Map<String, Object> body, Map<String, Object> answer) {
        if (isFenced(body, answer)) return 409;
        String task = Json.text(body, "task", "");
        long number = Json.number(body, "run_id", 0);
        closedRuns.merge(task, number, Math::max);
        Run run = running.get(task);
        if (run != null && run.number <= number) end(run, "stopped");
        return 200;
    }

    private int hold(Map<String, Object> body, Map<String, Object> answer) throws InterruptedException {
        if (isFenced(body, answer)) return 409;
        if (body.containsKey("due_ms")) extend(body);
        long acknowledged = Json.number(body, "ack_cursor", 0);
        ends.entrySet().removeIf(entry -> {
            if (entry.getKey() <= acknowledged) entry.getValue().noted = true;
            return entry.getKey() <= acknowledged;
        });
        long token = highestToken;
        long until = System.nanoTime() + Math.min(2_000, Json.number(body, "wait_ms", 0)) * 1_000_000;
        while (ends.isEmpty() && !dark && !cutOff) {
            long left = (until - System.nanoTime()) / 1_000_000;
            if (left <= 0) break;
            platform.wait(left);
        }
        if (dark || cutOff) return 0;
        if (token < highestToken) {
            answer.put("reason", "fence");
            return 409;
        }
        List<Object> rows = new ArrayList<>();
        for (Run run : running.values()) rows.add(List.of(run.task, run.number, run.saved(), run.percent(), run.step.cpu));
        List<Object> ended = new ArrayList<>();
        for (Map.Entry<Long, Run> entry : ends.entrySet()) {
            if (ended.size() == LISTED_ENDS) break;
            Run run = entry.getValue();
            ended.add(List.of(entry.getKey(), run.task, run.number, run.end, run.saved()));
        }
        answer.put("running", rows);
        answer.put("ended_runs", ended);
        return 200;
    }

    /** Ends [run]; the members of a gang end together. */
    void end(Run run, String how) {
        if (run.end != null) return;
        run.end = how;
        run.endedAt = System.nanoTime();
        running.remove(run.task);
        closedRuns.merge(run.task, run.number, Math::max);
        ends.put(++lastEnd, run);
        platform.record.line(id + " ends " + run.task + " run " + run.number + " " + how);
        if (run.step.gang) {
            String others = how.equals("done") ? "done" : how.equals("alone") ? "alone" : "broken";
            platform.gang(run).forEach(member -> member.worker.end(member, others));
        }
        platform.notifyAll();
    }

    /** Lets time pass: leases lapse, gangs assemble, work is done. Called under the lock of the platform. */
    void tick() {
        if (!up) return;
        boolean lapsed = clock() > dueMs;
        for (Run run : new ArrayList<>(running.values())) {
            if (run.end != null) continue;
            if (lapsed) {
                end(run, "lapsed");
                continue;
            }
            if (run.step.gang && run.workSince == 0) {
                List<Run> members = platform.gang(run);
                if (members.size() == run.step.count) {
                    long now = System.nanoTime();
                    members.forEach(member -> member.workSince = now);
                } else if (System.nanoTime() - run.startedAt > Platform.GANG_WAIT_MS * 1_000_000L) {
                    end(run, "alone");
                    continue;
                }
            }
            if (!run.step.lasting && run.workSince != 0 && run.workedMs() >= run.step.workMs) end(run, run.step.end);
        }
    }

    /** Is partitioned from all machines and the store, and runs on. */
    void cutOff() {
        synchronized (platform) {
            cutOff = true;
            platform.record.line(id + " is cut off");
            platform.notifyAll();
        }
    }

    /** Crashes and starts again under its id: it holds and knows nothing of before. */
    void restart() {
        synchronized (platform) {
            for (Run run : new ArrayList<>(running.values())) {
                run.end = "crashed";
                run.endedAt = System.nanoTime();
            }
            platform.record.line(id + " crashes with " + running.size() + " run(s) at work, and starts again");
            running.clear();
            ends.clear();
            closedRuns.clear();
            lastEnd = 0;
            highestToken = 0;
            dueMs = 0;
            seq = 0;
            bornMs = System.currentTimeMillis();
            bornAt = System.nanoTime();
        }
    }

    void reconnect() {
        cutOff = false;
        platform.record.line(id + " is reachable again");
    }

    /** Loses power for good: nothing runs here any more, and nothing is answered, sent or refused. */
    void losePower() {
        synchronized (platform) {
            dark = true;
            up = false;
            running.values().forEach(run -> {
                run.end = "power lost";
                run.endedAt = System.nanoTime();
            });
            running.clear();
            platform.record.line(id + " loses power");
        }
        Thread expiry = new Thread(() -> {
            try {
                Thread.sleep(MISSED_BEATS * Platform.HEARTBEAT_MS);
            } catch (InterruptedException e) {
                return;
            }
            platform.store.put("keyed.servers", id, null);
        });
        expiry.setDaemon(true);
        expiry.start();
    }

    @Override
    public void close() {
        up = false;
        if (server != null) server.stop(0);
    }
}
