import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * Many accepted jobs wait for their time, fewer than the system accepts. One process is killed, and the memory of each
 * process that takes over is too small to load the jobs: one after the other ends, again and again.
 */
public final class ManyOpenJobs implements Main.Case {
    private static final String SERVICE = "svc-a";
    private static final int JOBS = 19_500;
    private static final int SPEC_BYTES = 4_000;
    private static final int CLIENTS = 24;
    private static final int ASKED = 12;
    private static final long DUE_IN_MS = 3_600_000;
    private static final long FINISH_MS = 30_000;

    @Override
    public String rule() {
        return "LOST";
    }

    @Override
    public void play(Record record, Platform platform, boolean trouble) throws Exception {
        platform.configure(7, List.of(Platform.route("r-one", "one.example", "/one/", SERVICE)), SERVICE);
        for (int i = 1; i <= 4; i++) platform.addWorker("i-" + i, SERVICE, "a", "r1-" + i, 32_000, 65_536);
        try (Cell cell = new Cell(record, 3, platform.storePort())) {
            cell.startAll();
            if (!cell.awaitReady(20_000)) throw new IllegalStateException("the machines do not become ready");
            cell.supervise();
            Queue queue = new Queue(record, cell, "one.example", "/one/");

            long dueAt = System.currentTimeMillis() + DUE_IN_MS;
            Set<String> accepted = ConcurrentHashMap.newKeySet();
            ExecutorService clients = Executors.newFixedThreadPool(CLIENTS);
            for (int i = 1; i <= JOBS; i++) {
                Platform.Step step = new Platform.Step();
                step.cpu = 1_000;
                step.estimatedMs = 500;
                Platform.Job job = new Platform.Job(String.format("%016x", i), "x".repeat(SPEC_BYTES), step);
                job.startAtMs = dueAt;
                clients.submit(() -> {
                    if (queue.submit(platform, job)) accepted.add(job.id);
                    return null;
                });
            }
            clients.shutdown();
            if (!clients.awaitTermination(60, TimeUnit.SECONDS)) throw new IllegalStateException("submitting takes too long");
            record.line(accepted.size() + " of " + JOBS + " jobs were accepted");
            if (accepted.size() < JOBS * 9 / 10) throw new IllegalStateException("too few jobs were accepted");
            Thread.sleep(2_000);

            if (trouble) {
                Cell.Machine owner = cell.owner();
                if (owner == null) throw new IllegalStateException("no machine says that it has loaded the jobs");
                cell.kill(owner);
            }
            Thread.sleep(FINISH_MS);

            List<String> ids = new ArrayList<>(accepted);
            Map<String, Integer> answers = new TreeMap<>();
            for (int i = 0; i < ASKED; i++) {
                answers.merge(queue.state(ids.get(i * (ids.size() / ASKED))), 1, Integer::sum);
            }
            record.line("accepted jobs are shown as " + answers + "; processes ended by themselves "
                    + cell.endedByThemselves() + " times");
            if (!answers.keySet().equals(Set.of("queued"))) {
                record.broken("LOST", "asked for " + FINISH_MS / 1_000 + " s after one process was killed, accepted jobs are "
                        + answers + "; processes ended by themselves " + cell.endedByThemselves() + " times");
            }
            cell.keepLogs(java.nio.file.Path.of("target/review-2/logs"));
        }
    }
}
