import java.util.ArrayList;
import java.util.List;

/** Jobs are ordered to a worker that has lost power: none of them begins, and none is counted as waiting. */
public final class PendingTooLow implements Main.Case {
    private static final String SERVICE = "svc-a";
    private static final int WORKERS = 8;
    private static final long CORES = 64_000;
    private static final int JOBS = 20;

    /** `visible_ms` and 2 s, and some time more: a job that was accepted before and has not begun has to be counted. */
    private static final long COUNTED_AFTER_MS = 3_000 + 2_000 + 300;
    private static final long WATCH_MS = 14_000;

    @Override
    public String rule() {
        return "MIXED";
    }

    @Override
    public void play(Record record, Platform platform, boolean trouble) throws Exception {
        platform.configure(7, List.of(Platform.route("r-one", "one.example", "/one/", SERVICE)), SERVICE);
        for (int i = 1; i <= WORKERS; i++) platform.addWorker("i-" + i, SERVICE, "a", "r1-" + i, CORES, 262_144);
        try (Cell cell = new Cell(record, 3, platform.storePort())) {
            cell.startAll();
            if (!cell.awaitReady(20_000)) throw new IllegalStateException("the machines do not become ready");
            Queue queue = new Queue(record, cell, "one.example", "/one/");

            // The next small tasks are placed on the worker that has least room left.
            Platform.Step large = new Platform.Step();
            large.cpu = 20_000;
            large.workMs = 60_000;
            large.estimatedMs = 60_000;
            Platform.Job first = new Platform.Job("00000000000000f1", "large", large);
            if (!queue.submit(platform, first)) throw new IllegalStateException("the large job was not accepted");
            Thread.sleep(5_000);
            List<Worker.Run> there = platform.running(first.id);
            if (there.size() != 1) throw new IllegalStateException("the large job does not start");

            if (trouble) there.get(0).worker.losePower();
            List<Platform.Job> jobs = new ArrayList<>();
            for (int i = 0; i < JOBS; i++) {
                Platform.Step step = new Platform.Step();
                step.cpu = 1_000;
                step.estimatedMs = 1_000;
                Platform.Job job = new Platform.Job(String.format("00000000000001%02x", i), "small", step);
                if (!queue.submit(platform, job)) throw new IllegalStateException("a job was not accepted");
                jobs.add(job);
            }
            long accepted = System.nanoTime();
            Thread.sleep(COUNTED_AFTER_MS);
            while (System.nanoTime() - accepted < WATCH_MS * 1_000_000) {
                long askedAt = System.nanoTime();
                long pending = queue.pending();
                long waiting;
                synchronized (platform) {
                    // A job that has begun by the time of the answer need not be counted.
                    waiting = jobs.stream().filter(job -> platform.starts(job.id) == 0).count();
                }
                if (pending >= 0 && pending * 2 < waiting) {
                    record.broken("MIXED", pending + " jobs are said to wait; " + waiting + " have not begun, "
                            + (askedAt - accepted) / 1_000_000 + " ms after the last of them was accepted");
                    break;
                }
                Thread.sleep(500);
            }
            cell.keepLogs(java.nio.file.Path.of("target/review-2/logs"));
        }
    }
}
