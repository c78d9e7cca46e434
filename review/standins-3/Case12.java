import java.nio.file.Path;
import java.util.List;

/**
 * A job that lasts is at work on all six workers. The tasks of a second one fail soon after each start, for 3 s. Once
 * they would work, they must be started again, and jobs that are accepted later must run.
 */
public final class Case12 {
    private static final int WORKERS = 6;
    private static final int SCHEDULERS = 3;
    private static final int FIRST_TASKS = 12;
    private static final int SECOND_TASKS = 6;
    private static final long FAILING_MS = 3_000;
    private static final long SETTLING_MS = 20_000;

    /** From here on a lasting task without a run breaks the rule: 6 s after its last run, and 3 s after calm of 4 s. */
    private static final long CHECKED_MS = 9_000;
    private static final long STEP_MS = 100;

    private Case12() {
    }

    public static void main(String[] args) {
        int code = 2;
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        try (Cell cell = new Cell(Path.of(args[0]), Path.of(args[1]), WORKERS, SCHEDULERS)) {
            cell.startAll();
            Thread.sleep(2_000);
            Scheduler front = cell.schedulers.get(0);
            String first = cell.submitLasting(front, FIRST_TASKS, FIRST_TASKS / WORKERS, "lasting");
            if (cell.awaitRunning(first, FIRST_TASKS, 10_000)) {
                Worker.flakyTasksFail = trouble;
                String second = cell.submitLasting(front, SECOND_TASKS, SECOND_TASKS / WORKERS, "flaky");
                Thread.sleep(FAILING_MS);
                Worker.flakyTasksFail = false;
                cell.record.line("the tasks of %s do not fail any more", second);
                Thread.sleep(SETTLING_MS);
                String third = cell.submit(front, 1, 300);
                check(cell, second, third);
                cell.state(front, third);
                code = cell.violations.isEmpty() ? 0 : 1;
            }
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(code);
    }

    private static void check(Cell cell, String second, String third) throws InterruptedException {
        List<String> idle = cell.idleTasks(second, SECOND_TASKS);
        boolean begun = false;
        for (long waited = 0; waited < CHECKED_MS; waited += STEP_MS) {
            idle.retainAll(cell.idleTasks(second, SECOND_TASKS));
            begun |= cell.hasStarted(third + ".0.0.0");
            Thread.sleep(STEP_MS);
        }
        idle.forEach(task -> cell.violation("LOST", task + " lasts, and has had no run for 9 s"));
        if (!begun) cell.violation("LOST", "job " + third + " was accepted, and has not begun for 9 s with most capacity free");
    }
}
