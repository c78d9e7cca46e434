import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * One of eight workers is lost for good. Jobs that are accepted right after are ordered to it and begin nowhere. The queue
 * must give at least half of them as pending, 5 s after the last was accepted.
 */
public final class Case15 {
    private static final int WORKERS = 8;
    private static final int SCHEDULERS = 3;
    private static final int JOBS = 12;
    private static final long TASK_MS = 1_000;

    /** `visible_ms` and 2 s; the count itself may be 2 s old within that. */
    private static final long VISIBLE_MS = 5_000;
    private static final int LOOKS = 12;
    private static final long LOOK_GAP_MS = 150;

    private Case15() {
    }

    public static void main(String[] args) {
        int code = 2;
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        try (Cell cell = new Cell(Path.of(args[0]), Path.of(args[1]), WORKERS, SCHEDULERS)) {
            cell.startAll();
            Thread.sleep(3_000);
            Scheduler front = cell.schedulers.get(0);
            String service = cell.submitLasting(front, 1, 1, "lasting");
            if (cell.awaitRunning(service, 1, 5_000)) {
                Thread.sleep(3_000);
                if (trouble) cell.workerRunning(service + ".0.0.0").lose();
                List<String> jobs = new ArrayList<>();
                for (int i = 0; i < JOBS; i++) jobs.add(cell.submit(front, 1, TASK_MS));
                Thread.sleep(VISIBLE_MS);
                for (int i = 0; i < LOOKS; i++) look(cell, jobs);
                code = cell.violations.isEmpty() ? 0 : 1;
            }
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(code);
    }

    /** Counts the jobs that have not begun before and after the answer, and takes the smaller number. */
    private static void look(Cell cell, List<String> jobs) throws InterruptedException {
        long before = waiting(cell, jobs);
        long pending = cell.pending(cell.schedulers.get(1));
        long waiting = Math.min(before, waiting(cell, jobs));
        cell.record.line("%d jobs have not begun, pending is %d", waiting, pending);
        if (pending >= 0 && 2 * pending < waiting) {
            cell.violation("MIXED", pending + " jobs are given as pending, " + waiting + " have waited for more than 5 s");
        }
        Thread.sleep(LOOK_GAP_MS);
    }

    private static long waiting(Cell cell, List<String> jobs) {
        return jobs.stream().filter(job -> cell.accepted.containsKey(job) && !cell.hasStarted(job + ".0.0.0")).count();
    }
}
