import java.util.ArrayList;
import java.util.List;

/** Tasks that last fail now and then; their workers, which are sound, get no work any more. */
public final class LastingTasksFail implements Main.Case {
    private static final String SERVICE = "svc-a";
    private static final int WORKERS = 4;
    private static final int TASKS = 8;
    private static final long GAP_MS = 2_000;
    private static final long WAIT_MS = 30_000;

    @Override
    public String rule() {
        return "LOST";
    }

    @Override
    public void play(Record record, Platform platform, boolean trouble) throws Exception {
        platform.configure(7, List.of(Platform.route("r-one", "one.example", "/one/", SERVICE)), SERVICE);
        for (int i = 1; i <= WORKERS; i++) platform.addWorker("i-" + i, SERVICE, "a", "r1-" + i, 32_000, 65_536);
        try (Cell cell = new Cell(record, 3, platform.storePort())) {
            cell.startAll();
            if (!cell.awaitReady(20_000)) throw new IllegalStateException("the machines do not become ready");
            Queue queue = new Queue(record, cell, "one.example", "/one/");

            Platform.Step lasting = new Platform.Step();
            lasting.count = TASKS;
            lasting.cpu = 4_000;
            lasting.lasting = true;
            lasting.maxPerServer = 2;
            Platform.Job service = new Platform.Job("00000000000000a1", "service", lasting);
            if (!queue.submit(platform, service)) throw new IllegalStateException("the service was not accepted");
            if (!awaitRunning(platform, service.id, TASKS, 10_000)) throw new IllegalStateException("the service does not start");
            Thread.sleep(5_000);

            if (trouble) {
                for (Worker.Run run : interleaved(platform.running(service.id))) {
                    synchronized (platform) {
                        run.worker.end(run, "failed");
                    }
                    Thread.sleep(GAP_MS);
                }
            }
            Platform.Step batch = new Platform.Step();
            batch.count = 4;
            batch.cpu = 1_000;
            batch.estimatedMs = 500;
            batch.workMs = 500;
            Platform.Job work = new Platform.Job("00000000000000b1", "batch", batch);
            if (!queue.submit(platform, work)) throw new IllegalStateException("the batch was not accepted");
            Thread.sleep(WAIT_MS);

            record.line("in use " + platform.runningCpu() + " of " + WORKERS * 32_000 + " thousandths of a core");
            List<Worker.Run> atWork = platform.running(service.id);
            if (atWork.size() < TASKS) {
                record.broken("LOST", TASKS - atWork.size() + " of " + TASKS + " tasks that last have not run again for "
                        + "over " + WAIT_MS / 1_000 + " s, though all workers are sound and mostly idle");
            }
            String state = queue.state(work.id);
            if (!state.equals("completed")) {
                record.broken("LOST", "the batch is '" + state + "' after " + WAIT_MS / 1_000 + " s with "
                        + platform.starts(work.id) + " starts, though all workers are sound and mostly idle");
            }
            cell.keepLogs(java.nio.file.Path.of("target/review-2/logs"));
        }
    }

    /** One run of each worker in turn. */
    private static List<Worker.Run> interleaved(List<Worker.Run> runs) {
        List<Worker.Run> first = new ArrayList<>();
        List<Worker.Run> second = new ArrayList<>();
        for (Worker.Run run : runs) {
            boolean known = first.stream().anyMatch(other -> other.worker == run.worker);
            (known ? second : first).add(run);
        }
        first.addAll(second);
        return first;
    }

    private static boolean awaitRunning(Platform platform, String job, int count, long timeoutMs)
            throws InterruptedException {
        long until = System.nanoTime() + timeoutMs * 1_000_000;
        while (platform.running(job).size() < count) {
            if (System.nanoTime() > until) return false;
            Thread.sleep(50);
        }
        return true;
    }
}
