package review;

import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;

/** A worker loses power as an order reaches it, and is back a second later under its id. */
final class RestartedWorker extends Case {
    /** Time without power; the site's crashes last 4.5 s at most. */
    private static final int DARK_MILLIS = 1_000;
    private static final int JOBS_BEFORE = 6;
    private static final String SHORT_JOB =
        "{\"spec\":\"ms=300\",\"steps\":[{\"count\":1,\"cpu\":5600,\"mem_mb\":21000,\"estimated_ms\":300}]}";

    @Override
    List<String> play() throws Exception {
        Cell cell = new Cell(root, record, 3, 1, 64_000, Map.of());
        if (!cell.start(20_000)) return null;
        Worker worker = cell.workers.get(0);
        for (int i = 0; i < JOBS_BEFORE; i++) {
            String id = String.format("%016x", 0xa0 + i);
            if (cell.submit(id, SHORT_JOB, 8) != 200) return null;
            if (!cell.await(id, "completed", 10_000).equals("completed")) return null;
        }
        String id = String.format("%016x", 0xb0);
        AtomicBoolean lost = new AtomicBoolean();
        if (trouble) {
            worker.onStart((one, task, run) -> {
                if (!task.startsWith(id) || !lost.compareAndSet(false, true)) return;
                one.losePower();
                Http.daemon(() -> {
                    try {
                        Thread.sleep(DARK_MILLIS);
                    } catch (InterruptedException e) {
                        throw new IllegalStateException(e);
                    }
                    one.powerOn();
                });
            });
        }
        // Calls to the worker are held for 1.2 s; the job is handed in while one is.
        long seen = worker.lastHoldAt;
        while (worker.lastHoldAt == seen) Thread.sleep(5);
        record.line("the ends up to " + worker.lastCursor + " are taken note of");
        if (cell.submit(id, SHORT_JOB, 4) != 200) return null;
        if (!cell.await(id, "completed", 30_000).equals("completed")) return null;
        Thread.sleep(2_000);
        return cell.startedTwice();
    }

    public static void main(String[] args) {
        run(new RestartedWorker(), args);
    }
}
