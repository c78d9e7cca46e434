package review;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Many small tasks end on a worker while the store is down. */
final class ManyEnds extends Case {
    private static final int JOBS = 11;

    /** The widest step of the site's jobs. */
    private static final int TASKS = 60;
    private static final int RUN_MILLIS = 6_000;

    /** The site's outages of the store last 4.5 s at most. */
    private static final int DOWN_MILLIS = 4_500;
    private static final String JOB = "{\"spec\":\"ms=" + RUN_MILLIS + "\",\"steps\":[{\"count\":" + TASKS
        + ",\"cpu\":90,\"mem_mb\":100,\"estimated_ms\":" + RUN_MILLIS + "}]}";

    @Override
    List<String> play() throws Exception {
        Cell cell = new Cell(root, record, 3, 2, 64_000, Map.of());
        if (!cell.start(20_000)) return null;
        List<String> ids = new ArrayList<>();
        long first = Record.millis();
        for (int i = 0; i < JOBS; i++) {
            String id = String.format("%016x", 0xa0 + i);
            if (cell.submit(id, JOB, 8) != 200) return null;
            ids.add(id);
            Thread.sleep(50);
        }
        Thread.sleep(Math.max(0, first + RUN_MILLIS - 500 - Record.millis()));
        if (trouble) {
            record.line("the store is down");
            cell.store.down = true;
            Thread.sleep(DOWN_MILLIS);
            for (Worker worker : cell.workers) record.line(worker.id + " lists " + worker.unacknowledgedEnds() + " ends");
            cell.store.down = false;
            record.line("the store is back");
        }
        for (String id : ids) cell.await(id, "completed", 30_000);
        Thread.sleep(2_000);
        return cell.startedTwice();
    }

    public static void main(String[] args) {
        run(new ManyEnds(), args);
    }
}
