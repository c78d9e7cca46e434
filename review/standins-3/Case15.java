import java.nio.file.Path;

/**
 * A job of two steps is accepted and begins. A new version of the configuration then removes its route. The second step
 * must still run.
 */
public final class Case15 {
    private static final int WORKERS = 6;
    private static final int SCHEDULERS = 3;
    private static final long TASK_MS = 4_000;

    /** `finish_s` after the traffic, here the submission and the first step; then nothing may stand still for 3 s. */
    private static final long FINISH_MS = 14_000;
    private static final long CHECKED_MS = 3_000;

    private Case15() {
    }

    public static void main(String[] args) {
        int code = 2;
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        try (Cell cell = new Cell(Path.of(args[0]), Path.of(args[1]), WORKERS, SCHEDULERS)) {
            cell.startAll();
            Thread.sleep(3_000);
            String job = cell.submitChain(cell.schedulers.get(0), TASK_MS);
            Thread.sleep(1_000);
            if (cell.accepted.containsKey(job) && cell.hasStarted(job + ".0.0.0")) {
                cell.configure(2, !trouble);
                Thread.sleep(TASK_MS + FINISH_MS + CHECKED_MS);
                cell.schedulers.forEach(scheduler -> cell.state(scheduler, job));
                if (!cell.hasStarted(job + ".0.1.0")) {
                    cell.violation("LOST", "the second step of job " + job + ", whose turn came 16 s ago, has had no run, with all capacity free");
                }
                code = cell.violations.isEmpty() ? 0 : 1;
            }
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(code);
    }
}
