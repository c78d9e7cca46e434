import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;

/** The stand-ins and scheduler processes of one case, and what clients and workers have seen. */
final class Cell implements Worker.Events, AutoCloseable {
    static final int DEADLINE_MS = 3_000;

    /** All machines start within 0.3 s of each other. */
    private static final int START_GAP_MS = 140;

    final Record record;
    final Store store;
    final List<Worker> workers = new ArrayList<>();
    final List<Scheduler> schedulers = new ArrayList<>();

    /** Jobs that were accepted, by id, with the time of the acknowledgement in seconds. */
    final Map<String, Double> accepted = new ConcurrentHashMap<>();

    /** Tasks of which an end as done was acknowledged by the scheduler, with the worker. */
    private final Map<String, String> doneAndAcknowledged = new ConcurrentHashMap<>();
    private final Map<String, String> runningOn = new ConcurrentHashMap<>();
    private final Set<String> started = ConcurrentHashMap.newKeySet();
    final List<String> violations = new ArrayList<>();
    private final Advice advice;
    private final Path folder;
    private final AtomicInteger lastJob = new AtomicInteger();

    Cell(Path repository, Path recordFile, int workerCount, int schedulerCount) throws IOException {
        this(repository, recordFile, workerCount, Collections.nCopies(schedulerCount, 0.75));
    }

    /** Makes a cell with a scheduler process for each entry of [cores]. */
    Cell(Path repository, Path recordFile, int workerCount, List<Double> cores) throws IOException {
        this(repository, recordFile, workerCount, cores, false, false);
    }

    /** The same; the queue may have advice, and all processes but the first may stand in the region of the workers. */
    Cell(Path repository, Path recordFile, int workerCount, List<Double> cores, boolean advised, boolean nearWorkers)
        throws IOException {
        record = new Record(recordFile);
        folder = Files.createTempDirectory("anvilbarrow-review");
        Runtime.getRuntime().addShutdownHook(new Thread(() -> schedulers.forEach(Scheduler::end)));
        store = new Store();
        advice = advised ? new Advice(record) : null;
        configure(1, true);
        for (int i = 1; i <= workerCount; i++) workers.add(new Worker("worker-" + i, store, record, this, 32_000, 65_536));
        workers.forEach(worker -> worker.advice = advice);
        for (int i = 1; i <= cores.size(); i++) {
            String adviceAddress = advice == null ? null : advice.listen();
            boolean near = nearWorkers && i > 1;
            schedulers.add(new Scheduler("edge-" + i, store.address(), adviceAddress, cores.get(i - 1), near, repository, folder, record));
        }
    }

    /** Publishes a version of the configuration with two routes, or without the one that the clients use. */
    void configure(int version, boolean withQueue) {
        String queue = route("queue", Client.HOST, Client.PREFIX) + ",";
        store.put("keyed.op", "config", "{\"version\":" + version + ",\"routes\":[" + (withQueue ? queue : "")
            + route("other", "other.example", "/other/") + "],\"services\":[{\"name\":\"pool\",\"enforces_capacity\":false}],\"limits\":{}}");
        record.line("operator: version %d of the configuration, %s the route", version, withQueue ? "with" : "without");
    }

    private String route(String name, String host, String prefix) {
        return "{\"name\":\"" + name + "\",\"host\":\"" + host + "\",\"path_prefix\":\"" + prefix + "\",\"service\":\"pool\","
            + (advice == null ? "" : Advice.TERMS + ",") + "\"priority\":0,\"max_attempts\":3,\"stretch\":2.0,\"target_duration_ms\":1000}";
    }

    void startAll() throws Exception {
        for (Scheduler scheduler : schedulers) {
            scheduler.start();
            Thread.sleep(START_GAP_MS);
        }
        long until = System.nanoTime() + 15_000_000_000L;
        while (System.nanoTime() < until) {
            Thread.sleep(100);
            boolean ready = true;
            for (Scheduler scheduler : schedulers) ready &= isReady(scheduler);
            if (ready) {
                record.line("all processes are ready");
                return;
            }
        }
        throw new IOException("the processes were not ready in time");
    }

    boolean isReady(Scheduler scheduler) {
        try (java.net.Socket socket = new java.net.Socket("127.0.0.1", scheduler.probes())) {
            socket.setSoTimeout(1_000);
            socket.getOutputStream().write("GET /v1/ready HTTP/1.1\r\nHost: probe\r\nConnection: close\r\n\r\n".getBytes());
            return new String(socket.getInputStream().readNBytes(12)).endsWith("200");
        } catch (IOException e) {
            return false;
        }
    }

    /** Returns the process named in the newest claim. */
    Scheduler owner() {
        String claim = store.newestValue("keyed.shards", "owner");
        for (Scheduler scheduler : schedulers) if (claim != null && claim.contains(scheduler.peerAddress())) return scheduler;
        return null;
    }

    /** Submits a job of one step whose tasks run for the given time; returns its id. */
    String submit(Scheduler scheduler, int tasks, long millis) {
        return submit(scheduler, Long.toString(millis), "\"count\":" + tasks + ",\"cpu\":1000,\"mem_mb\":256,\"estimated_ms\":" + millis);
    }

    /** Submits a job of two steps of one task each, the second one after the first; returns its id. */
    String submitChain(Scheduler scheduler, long millis) {
        String step = "\"count\":1,\"cpu\":1000,\"mem_mb\":256,\"estimated_ms\":" + millis;
        return submit(scheduler, Long.toString(millis), step + "},{" + step + ",\"depends_on\":[0]");
    }

    private String submit(Scheduler scheduler, String spec, String step) {
        String id = String.format("%016x", 0x5c0e7a2100000000L + lastJob.incrementAndGet());
        String body = "{\"spec\":\"" + spec + "\",\"steps\":[{" + step + "}]}";
        Client.Reply reply = Client.call(scheduler.callers, "POST", id, body, DEADLINE_MS);
        record.line("client: POST %s at %s -> %s", id, scheduler.name, reply);
        if (reply.status / 100 == 2) accepted.put(id, record.seconds());
        return id;
    }

    /** Returns the tasks of a job of one step that run nowhere. */
    List<String> idleTasks(String job, int tasks) {
        List<String> idle = new ArrayList<>();
        for (int i = 0; i < tasks; i++) {
            String task = job + ".0.0." + i;
            if (!runningOn.containsKey(task)) idle.add(task);
        }
        return idle;
    }

    boolean hasStarted(String task) {
        return started.contains(task);
    }

    boolean awaitRunning(String job, int tasks, long millis) throws InterruptedException {
        long until = System.nanoTime() + millis * 1_000_000;
        while (System.nanoTime() < until) {
            if (idleTasks(job, tasks).isEmpty()) return true;
            Thread.sleep(20);
        }
        return false;
    }

    Client.Reply state(Scheduler scheduler, String id) {
        Client.Reply reply = Client.call(scheduler.callers, "GET", id, null, DEADLINE_MS);
        record.line("client: GET %s at %s -> %s", id, scheduler.name, reply);
        return reply;
    }

    void slow(int factor) {
        record.line(factor == 1 ? "the store is as fast as usual" : "the store answers %d times slower", factor);
        store.slowness = factor;
    }

    synchronized void violation(String rule, String text) {
        violations.add(rule + ": " + text);
        record.line("BROKEN %s: %s", rule, text);
    }

    @Override
    public void started(String task, long run, Worker worker) {
        started.add(task);
        String done = doneAndAcknowledged.get(task);
        if (done != null) violation("TWICE", task + " run " + run + " starts on " + worker.id + " after " + done);
        String other = runningOn.put(task, worker.id);
        if (other != null) violation("TWICE", task + " run " + run + " starts on " + worker.id + " while it runs on " + other);
    }

    @Override
    public void ended(String task, long run, String how, Worker worker) {
        runningOn.remove(task, worker.id);
    }

    @Override
    public void acknowledged(String task, long run, String how, Worker worker) {
        if (how.equals("done")) doneAndAcknowledged.put(task, "run " + run + " ended done on " + worker.id + " and was taken note of");
    }

    @Override
    public void close() throws IOException {
        schedulers.forEach(Scheduler::end);
        workers.forEach(Worker::close);
        store.close();
        if (advice != null) advice.close();
        String kept = System.getenv("KEEP_LOGS");
        if (kept == null) {
            try (Stream<Path> files = Files.walk(folder)) {
                files.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
            }
        } else {
            System.out.println(folder);
        }
        record.close();
    }
}
