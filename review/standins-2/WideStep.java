import java.util.List;

/**
 * A step with many small tasks runs beside a service on one worker, whose list of runs is then too long for a message
 * between the machines: its leases lapse, though nothing is wrong with it.
 */
public final class WideStep implements Main.Case {
    private static final String SERVICE = "svc-a";
    private static final int WORKERS = 4;
    private static final long CORES = 64_000;
    private static final int SERVICE_TASKS = 4;
    private static final int MAY_MISS = 1;
    private static final long TASK_MS = 12_000;
    private static final long WATCH_MS = 75_000;

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
            lasting.count = SERVICE_TASKS;
            lasting.cpu = 1_000;
            lasting.lasting = true;
            lasting.mayMiss = MAY_MISS;
            Platform.Job service = new Platform.Job("00000000000000a1", "service", lasting);
            if (!queue.submit(platform, service)) throw new IllegalStateException("the service was not accepted");
            Thread.sleep(5_000);
            if (platform.running(service.id).size() < SERVICE_TASKS) throw new IllegalStateException("the service does not start");

            Platform.Step wide = new Platform.Step();
            wide.count = trouble ? 1_200 : 300;
            wide.cpu = 50;
            wide.memMb = 50;
            wide.estimatedMs = TASK_MS;
            wide.workMs = TASK_MS;
            Platform.Job work = new Platform.Job("00000000000000d1", "wide", wide);
            if (!queue.submit(platform, work)) throw new IllegalStateException("the wide job was not accepted");
            String state = queue.await(work.id, "completed", WATCH_MS);

            int worst = 0;
            long longestMs = 0;
            synchronized (platform) {
                List<Worker.Run> runs = platform.history.stream().filter(run -> run.task.startsWith(service.id)).toList();
                for (Worker.Run run : runs) {
                    if ("lapsed".equals(run.end)) worst = Math.max(worst, awayAt(runs, run));
                    if (run.end != null) longestMs = Math.max(longestMs, awayMs(runs, run));
                }
                long done = platform.history.stream()
                        .filter(run -> run.task.startsWith(work.id) && "done".equals(run.end)).count();
                long lapsed = platform.history.stream().filter(run -> "lapsed".equals(run.end)).count();
                record.line("the wide job is '" + state + "' after " + WATCH_MS / 1_000 + " s at most: "
                        + platform.starts(work.id) + " starts, " + done + " of " + wide.count
                        + " tasks done; runs that lapsed on sound workers, of both jobs: " + lapsed);
            }
            if (longestMs > OWED_AFTER_MS) {
                record.broken("LOST", "a task of the service was away for " + longestMs + " ms, while three workers were idle");
            }
            if (worst > MAY_MISS) {
                record.broken("AVAIL", "leases on a sound worker lapsed with no disruption: " + worst + " of "
                        + SERVICE_TASKS + " tasks of the service were away at once, " + MAY_MISS + " may be");
            }
            cell.keepLogs(java.nio.file.Path.of("target/review-2/logs"));
        }
    }

    /** Returns how long the task of [ended] was away after that run. */
    private static long awayMs(List<Worker.Run> runs, Worker.Run ended) {
        long back = runs.stream()
                .filter(run -> run.task.equals(ended.task) && run.startedAt > ended.endedAt)
                .mapToLong(run -> run.startedAt)
                .min()
                .orElse(System.nanoTime());
        return (back - ended.endedAt) / 1_000_000;
    }

    /** Returns how many tasks of the service were away right after the lease of [lapsed] had lapsed, itself included. */
    private static int awayAt(List<Worker.Run> runs, Worker.Run lapsed) {
        long at = lapsed.endedAt + 1;
        long atWork = runs.stream()
                .filter(run -> run.startedAt + Worker.STARTUP_MS * 1_000_000 <= at && (run.end == null || run.endedAt >= at))
                .count();
        return (int) (SERVICE_TASKS - atWork);
    }
}
