import java.util.ArrayList;
import java.util.List;

/**
 * One worker is lost for good. Each job that ran there is suspected to have crashed it, and suspects are tried one at a
 * time on each worker: most jobs wait for a long time, while the cell is idle.
 */
public final class SuspectsWait implements Main.Case {
    private static final String SERVICE = "svc-a";
    private static final int WORKERS = 8;
    private static final long CORES = 64_000;
    private static final int JOBS = 200;
    private static final long TASK_CPU = 300;
    private static final long WORK_MS = 12_000;

    /** `finish_s`, after which jobs are asked for, counted from the loss of the worker, which is the last event. */
    private static final long FINISH_MS = 14_000;

    /** A job that has nothing running for so long is lost, if there is room for it twice over. */
    private static final long NOTHING_RUNNING_MS = 3_000;
    private static final long WATCH_MS = 20_000;

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
            List<Platform.Job> jobs = new ArrayList<>();
            for (int i = 0; i < JOBS; i++) {
                Platform.Step step = new Platform.Step();
                step.cpu = TASK_CPU;
                step.workMs = WORK_MS;
                step.estimatedMs = WORK_MS;
                Platform.Job job = new Platform.Job(String.format("00000000000f%04x", i), "job", step);
                if (!queue.submit(platform, job)) throw new IllegalStateException("a job was not accepted");
                jobs.add(job);
            }
            Thread.sleep(2_000);
            Worker lost = busiest(platform);
            record.line(lost.id + " runs " + lost.running.size() + " of " + JOBS + " jobs");
            if (trouble) lost.losePower();
            Thread.sleep(FINISH_MS);

            int worst = 0;
            long until = System.nanoTime() + WATCH_MS * 1_000_000;
            while (System.nanoTime() < until) {
                Thread.sleep(1_000);
                synchronized (platform) {
                    long sound = platform.workers.values().stream().filter(worker -> !worker.isDark()).count();
                    boolean isIdle = platform.runningCpu() * 2 < sound * CORES;
                    int waiting = (int) jobs.stream().filter(job -> waitsFor(platform, job.id) > NOTHING_RUNNING_MS).count();
                    if (isIdle) worst = Math.max(worst, waiting);
                    record.line("in use " + platform.runningCpu() + " of " + sound * CORES + " thousandths of a core; "
                            + waiting + " jobs have had nothing running for over " + NOTHING_RUNNING_MS + " ms");
                }
            }
            long open = 0;
            for (int i = 0; i < JOBS; i += 10) if (!queue.state(jobs.get(i).id).equals("completed")) open++;
            record.line(open + " of " + JOBS / 10 + " jobs asked for are not completed");
            if (worst > 0) {
                record.broken("LOST", worst + " jobs had nothing running for over " + NOTHING_RUNNING_MS + " ms, more than "
                        + FINISH_MS / 1_000 + " s after the last event, with most of the capacity free");
            }
            cell.keepLogs(java.nio.file.Path.of("target/review-2/logs"));
        }
    }

    private static Worker busiest(Platform platform) {
        synchronized (platform) {
            Worker busiest = null;
            for (Worker worker : platform.workers.values()) {
                if (busiest == null || worker.running.size() > busiest.running.size()) busiest = worker;
            }
            return busiest;
        }
    }

    /** Returns for how long a job has had nothing running, or 0 if something runs or all is done. */
    private static long waitsFor(Platform platform, String job) {
        List<Worker.Run> runs = platform.history.stream().filter(run -> run.task.startsWith(job + ".")).toList();
        if (runs.stream().anyMatch(run -> run.end == null || run.end.equals("done"))) return 0;
        long last = runs.stream().mapToLong(run -> run.endedAt).max().orElse(System.nanoTime());
        return (System.nanoTime() - last) / 1_000_000;
    }
}
