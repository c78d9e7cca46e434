import java.util.List;

/**
 * A gang does not fit beside tasks that last, and the workers are reserved for it all the same: a task that lasts fails
 * and is not started again, though there is room for it everywhere.
 */
public final class GangReserves implements Main.Case {
    private static final String SERVICE = "svc-a";
    private static final int WORKERS = 4;
    private static final long CORES = 64_000;
    private static final long GANG_TASK_MS = 12_000;
    private static final long WATCH_MS = 30_000;

    /** A task that lasts is owed from 6 s after its last run; it is lost if it is away for 3 s more. */
    private static final long OWED_AFTER_MS = 6_000 + 3_000;

    @Override
    public String rule() {
        return "LOST";
    }

    @Override
    public void play(Record record, Platform platform, boolean trouble) throws Exception {
        platform.configure(7, List.of(Platform.route("r-one", "one.example", "/one/", SERVICE)), SERVICE);
        for (int i = 1; i <= WORKERS; i++) platform.addWorker("i-" + i, SERVICE, "a", "r1-" + i, CORES, 262_144);
        try (Cell cell = new Cell(record, 3, platform.storePort())) {
            cell.startAll();
            if (!cell.awaitReady(20_000)) throw new IllegalStateException("the machines do not become ready");
            Queue queue = new Queue(record, cell, "one.example", "/one/");

            Platform.Step lasting = new Platform.Step();
            lasting.count = WORKERS;
            lasting.cpu = 6_000;
            lasting.lasting = true;
            lasting.maxPerServer = 1;
            Platform.Job service = new Platform.Job("00000000000000a1", "service", lasting);
            if (!queue.submit(platform, service)) throw new IllegalStateException("the service was not accepted");
            Thread.sleep(5_000);
            if (platform.running(service.id).size() < WORKERS) throw new IllegalStateException("the service does not start");

            if (trouble) {
                Platform.Step gang = new Platform.Step();
                gang.count = 2 * WORKERS;
                gang.cpu = 30_000;
                gang.gang = true;
                gang.estimatedMs = GANG_TASK_MS;
                gang.workMs = GANG_TASK_MS;
                Platform.Job large = new Platform.Job("00000000000000c1", "large gang", gang);
                if (!queue.submit(platform, large)) throw new IllegalStateException("the gang was not accepted");
            }
            Thread.sleep(1_000);
            Worker.Run failed = platform.running(service.id).get(0);
            synchronized (platform) {
                failed.worker.end(failed, "failed");
            }
            Thread.sleep(WATCH_MS);

            long awayMs;
            synchronized (platform) {
                awayMs = platform.history.stream()
                        .filter(run -> run.task.equals(failed.task) && run.startedAt > failed.endedAt)
                        .mapToLong(run -> (run.startedAt - failed.endedAt) / 1_000_000)
                        .min()
                        .orElse(WATCH_MS);
            }
            record.line("the task that failed was away for " + awayMs + " ms; in use are " + platform.runningCpu()
                    + " of " + WORKERS * CORES + " thousandths of a core");
            if (awayMs > OWED_AFTER_MS) {
                record.broken("LOST", "a task that lasts was away for " + awayMs + " ms after it had failed, with "
                        + (CORES - lasting.cpu) + " thousandths of a core free on each worker, of which it needs "
                        + lasting.cpu);
            }
            cell.keepLogs(java.nio.file.Path.of("target/review-2/logs"));
        }
    }
}
