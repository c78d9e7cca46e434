package review;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Jobs come that can never be done, while a service has a task that lasts on each worker. */
final class QuarantinedWorkers extends Case {
    private static final int WORKERS = 4;
    private static final int BATCHES = 8;
    private static final int BATCH_JOBS = 5;
    private static final int POISON_JOBS = 2;

    /** The site's bounds: after the end of the traffic, and how long a job may have nothing running. */
    private static final int FINISH_MILLIS = 14_000;
    private static final int IDLE_MILLIS = 3_000;
    private static final String PERMIT = "{\"count\":4,\"cpu\":5600,\"mem_mb\":21000,\"estimated_ms\":800}";

    @Override
    List<String> play() throws Exception {
        Cell cell = new Cell(root, record, 3, WORKERS, 64_000, Map.of());
        if (!cell.start(20_000)) return null;
        String service = String.format("%016x", 0xa0);
        if (cell.submit(service, "{\"spec\":\"ms=600000\",\"steps\":[{\"count\":" + WORKERS
            + ",\"cpu\":2000,\"mem_mb\":4000,\"estimated_ms\":1000,\"long_running\":true,\"max_per_server\":1}]}", 8) != 200) {
            return null;
        }
        // Two jobs in 42 can never be done; the site's share is a twentieth.
        for (int batch = 0; batch < BATCHES; batch++) {
            for (int i = 0; i < BATCH_JOBS; i++) {
                String id = String.format("%016x", 0x100 + batch * BATCH_JOBS + i);
                if (cell.submit(id, "{\"spec\":\"ms=800\",\"steps\":[" + PERMIT + "]}", 8) != 200) return null;
            }
            for (int i = 0; i < BATCH_JOBS; i++) {
                String id = String.format("%016x", 0x100 + batch * BATCH_JOBS + i);
                if (!cell.await(id, "completed", 10_000).equals("completed")) return null;
            }
        }
        if (trouble) {
            String all = String.join(",", cell.workers.stream().map(worker -> worker.id).toList());
            for (int i = 0; i < POISON_JOBS; i++) {
                String id = String.format("%016x", 0xc0 + i);
                if (cell.submit(id, "{\"spec\":\"fails=" + all + " failms=400\",\"steps\":[" + PERMIT + "]}", 8) != 200) return null;
            }
            for (int i = 0; i < POISON_JOBS; i++) cell.await(String.format("%016x", 0xc0 + i), "failed", 15_000);
        }
        String later = String.format("%016x", 0xd0);
        long accepted = Record.millis();
        if (cell.submit(later, "{\"spec\":\"ms=800\",\"steps\":[" + PERMIT + "]}", 8) != 200) return null;
        String shown = cell.await(later, "completed", FINISH_MILLIS + IDLE_MILLIS);
        List<String> broken = new ArrayList<>();
        synchronized (cell.runs) {
            int used = cell.runs.stream().filter(Worker.Run::running).mapToInt(run -> 2_000).sum();
            record.line(used + " of " + WORKERS * 64_000 + " millicores are in use");
            if (cell.runs.stream().noneMatch(run -> run.task.startsWith(later))) {
                broken.add("job " + later + ", accepted at " + accepted + ", has nothing running up to " + Record.millis()
                    + "; it is shown as " + shown + ", and " + used + " of " + WORKERS * 64_000 + " millicores are in use");
            }
        }
        return broken;
    }

    public static void main(String[] args) {
        run(new QuarantinedWorkers(), args);
    }
}
