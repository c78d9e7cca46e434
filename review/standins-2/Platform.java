import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToLongFunction;

/**
 * The operators' platform: the store, the workers and what is known of the jobs that clients submit.
 *
 * One lock, this object, guards the state of all workers.
 */
final class Platform implements AutoCloseable {
    static final int MAX_HOLD_MS = 10_000;
    static final int STOP_GRACE_MS = 900;
    static final int GANG_WAIT_MS = 3_000;
    static final int HEARTBEAT_MS = 1_500;
    static final int CHECKPOINT_MS = 2_000;

    /** A step as the client submitted it, and how its tasks really behave. */
    static final class Step {
        int count = 1;
        long cpu;
        long memMb = 64;
        long estimatedMs;
        boolean gang;
        boolean sameRack;
        boolean lasting;
        boolean checkpoints;
        int maxPerServer;
        int mayMiss;
        List<Object> dependsOn = new ArrayList<>();
        /** Work of one task in ms; ignored for tasks that last. */
        long workMs = 500;
        /** For each start of a task, how the run ends: done or failed. */
        String end = "done";

        Map<String, Object> wire() {
            Map<String, Object> step = Json.map("count", (long) count, "cpu", cpu, "mem_mb", memMb);
            if (estimatedMs > 0) step.put("estimated_ms", estimatedMs);
            if (gang) step.put("gang", true);
            if (sameRack) step.put("same_rack", true);
            if (lasting) step.put("long_running", true);
            if (checkpoints) step.put("checkpoints", true);
            if (maxPerServer > 0) step.put("max_per_server", (long) maxPerServer);
            if (mayMiss > 0) step.put("may_miss", (long) mayMiss);
            if (!dependsOn.isEmpty()) step.put("depends_on", dependsOn);
            return step;
        }
    }

    static final class Job {
        final String id;
        final String spec;
        final List<Step> steps;

        /** Due time of the only occurrence in ms since 1970, or 0 for a job that runs at once. */
        long startAtMs;

        Job(String id, String spec, Step... steps) {
            this.id = id;
            this.spec = spec;
            this.steps = List.of(steps);
        }

        String wire() {
            Map<String, Object> job = Json.map("spec", spec, "steps", steps.stream().map(Step::wire).toList());
            if (startAtMs > 0) {
                job.put("repeat_count", 1L);
                job.put("start_at_ms", startAtMs);
                job.put("interval_ms", 1_000L);
            }
            return Json.write(job);
        }
    }

    final Record record;
    final Store store = new Store();
    final Map<String, Worker> workers = new LinkedHashMap<>();
    private final Map<String, Job> jobs = new HashMap<>();

    /** All runs that have begun, in order. */
    final List<Worker.Run> history = new ArrayList<>();
    private final HttpServer storeServer;
    private volatile boolean closed;

    Platform(Record record) throws IOException {
        this.record = record;
        storeServer = Web.serve(0, store::handle);
        Thread ticker = new Thread(this::tick, "ticker");
        ticker.setDaemon(true);
        ticker.start();
    }

    int storePort() {
        return storeServer.getAddress().getPort();
    }

    void know(Job job) {
        synchronized (this) {
            jobs.put(job.id, job);
        }
    }

    /** Returns the step of a task with a name of the form ID.K.STEP.INDEX, or null. */
    Step stepOf(String task) {
        String[] parts = task.split("\\.");
        Job job = jobs.get(parts[0]);
        return job == null ? null : job.steps.get(Integer.parseInt(parts[2]));
    }

    Job jobOf(String task) {
        return jobs.get(task.substring(0, task.indexOf('.')));
    }

    /** The operator writes a configuration with these routes; each names its queue, host, prefix and service. */
    void configure(long version, List<Map<String, Object>> routes, String service) {
        store.put("keyed.op", "config", Json.write(Json.map(
                "version", version,
                "routes", routes,
                "services", List.of(Json.map("name", service, "health_path", "/health", "max_connections", 64L,
                        "protocol", "h1", "tls", false, "enforces_capacity", false, "standby", false)),
                "limits", Json.map("max_header_bytes", 16384L, "max_body_bytes", 262144L,
                        "header_timeout_ms", 3000L, "idle_timeout_ms", 15000L))));
        record.line("operator: configuration " + version + " with " + routes.size() + " route(s)");
    }

    static Map<String, Object> route(String name, String host, String prefix, String service) {
        return Json.map("name", name, "host", host, "path_prefix", prefix, "type", "non_idempotent",
                "timeout_ms", 3000L, "target_duration_ms", 3000L, "priority", 1L, "service", service,
                "max_attempts", 3L, "stretch", 2.2);
    }

    Worker addWorker(String id, String service, String kind, String rack, long cpu, long memMb) throws IOException {
        Worker worker = new Worker(this, id, service, kind, rack, cpu, memMb);
        synchronized (this) {
            workers.put(id, worker);
        }
        worker.start();
        return worker;
    }

    synchronized List<Worker.Run> running(String jobId) {
        List<Worker.Run> found = new ArrayList<>();
        for (Worker worker : workers.values()) {
            for (Worker.Run run : worker.running.values()) if (run.task.startsWith(jobId + ".")) found.add(run);
        }
        return found;
    }

    synchronized long runningCpu() {
        long cpu = 0;
        for (Worker worker : workers.values()) cpu += worker.usedCpu();
        return cpu;
    }

    synchronized long sum(ToLongFunction<Worker> value) {
        return workers.values().stream().mapToLong(value).sum();
    }

    synchronized int starts(String jobId) {
        return (int) history.stream().filter(run -> run.task.startsWith(jobId + ".")).count();
    }

    private void tick() {
        while (!closed) {
            try {
                Thread.sleep(10);
            } catch (InterruptedException e) {
                return;
            }
            synchronized (this) {
                for (Worker worker : new ArrayList<>(workers.values())) worker.tick();
            }
        }
    }

    /** Runs of the same gang that are there now. */
    List<Worker.Run> gang(Worker.Run of) {
        String step = of.task.substring(0, of.task.lastIndexOf('.') + 1);
        List<Worker.Run> members = new ArrayList<>();
        for (Worker worker : workers.values()) {
            for (Worker.Run run : worker.running.values()) {
                if (run.number == of.number && run.task.startsWith(step)) members.add(run);
            }
        }
        return members;
    }

    /** Notes the start of [run]; two runs of one task at a time, or one after a noted end, break TWICE. */
    void started(Worker.Run run) {
        for (Worker worker : workers.values()) {
            for (Worker.Run other : worker.running.values()) {
                if (other != run && other.task.equals(run.task)) {
                    record.broken("TWICE", run.task + " runs " + other.number + " on " + other.worker.id + " and "
                            + run.number + " on " + run.worker.id);
                }
            }
        }
        history.add(run);
    }

    @Override
    public void close() {
        closed = true;
        workers.values().forEach(Worker::close);
        storeServer.stop(0);
    }
}
