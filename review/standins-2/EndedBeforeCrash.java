import java.util.List;

/**
 * A task ends `done` on a worker that is cut off and crashes later. The crash counts against the task, and its job is
 * shown as failed, though no worker has crashed under it and no run ended failed.
 */
public final class EndedBeforeCrash implements Main.Case {
    private static final String SERVICE = "svc-a";
    private static final int WORKERS = 8;
    private static final int CUTS = 4;
    private static final long CUT_MS = 5_500;
    private static final long WORK_MS = 800;
    private static final long START_TIMEOUT_MS = 20_000;

    /** Time in which the answer to the start order reaches the system. */
    private static final long ANSWERED_MS = 150;

    /** Time from the end of the run to the crash of its worker. */
    private static final long CRASH_AFTER_MS = 1_700;

    @Override
    public String rule() {
        return "LOST";
    }

    @Override
    public void play(Record record, Platform platform, boolean trouble) throws Exception {
        platform.configure(7, List.of(Platform.route("r-one", "one.example", "/one/", SERVICE)), SERVICE);
        for (int i = 1; i <= WORKERS; i++) platform.addWorker("i-" + i, SERVICE, "a", "r1-" + i, 64_000, 262_144);
        try (Cell cell = new Cell(record, 3, platform.storePort())) {
            cell.startAll();
            if (!cell.awaitReady(20_000)) throw new IllegalStateException("the machines do not become ready");
            Queue queue = new Queue(record, cell, "one.example", "/one/");
            Platform.Step step = new Platform.Step();
            step.cpu = 5_600;
            step.workMs = WORK_MS;
            step.estimatedMs = WORK_MS;
            Platform.Job job = new Platform.Job("00000000000000a7", "permit", step);
            if (!queue.submit(platform, job)) throw new IllegalStateException("the job was not accepted");
            int crashedUnderIt = 0;
            for (int cut = 1; trouble && cut <= CUTS; cut++) {
                if (!awaitStart(platform, job.id, cut)) break;
                Worker.Run run;
                synchronized (platform) {
                    run = platform.history.get(platform.history.size() - 1);
                }
                Thread.sleep(ANSWERED_MS);
                run.worker.cutOff();
                Thread.sleep(WORK_MS + CRASH_AFTER_MS);
                synchronized (platform) {
                    if (run.end == null) crashedUnderIt++;
                }
                run.worker.restart();
                Thread.sleep(CUT_MS - WORK_MS - CRASH_AFTER_MS);
                run.worker.reconnect();
            }
            String state = queue.await(job.id, trouble ? "failed" : "completed", 15_000);
            long failed;
            synchronized (platform) {
                failed = platform.history.stream().filter(run -> "failed".equals(run.end)).count();
            }
            if (state.equals("failed") && failed == 0 && crashedUnderIt < 2) {
                record.broken("LOST", "the job is shown as failed; none of its " + platform.starts(job.id)
                        + " runs ended failed, and " + crashedUnderIt + " workers crashed under it");
            } else if (!trouble && !state.equals("completed")) {
                throw new IllegalStateException("the job is " + state + " without the disruption");
            }
            cell.keepLogs(java.nio.file.Path.of("target/review-2/logs"));
        }
    }

    private static boolean awaitStart(Platform platform, String job, int count) throws InterruptedException {
        long until = System.nanoTime() + START_TIMEOUT_MS * 1_000_000;
        while (platform.starts(job) < count) {
            if (System.nanoTime() > until) return false;
            Thread.sleep(5);
        }
        return true;
    }
}
