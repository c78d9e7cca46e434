import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Soon after the start of the cell some jobs are accepted on a queue with advice. The process that leads is killed while
 * the service decides, and is started again at once. All jobs must run.
 */
public final class Case13 {
    private static final int WORKERS = 8;
    private static final List<Double> CORES = List.of(1.5, 0.75, 0.75);
    private static final int JOBS = 12;
    private static final long TASK_MS = 300;
    private static final long KILL_AFTER_MS = 300;

    /** `finish_s` after the traffic; then nothing may stand still for 3 s. */
    private static final long FINISH_MS = 16_000;
    private static final long CHECKED_MS = 3_000;

    private Case13() {
    }

    public static void main(String[] args) {
        int code = 2;
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        try (Cell cell = new Cell(Path.of(args[0]), Path.of(args[1]), WORKERS, CORES, true, false)) {
            cell.startAll();
            Scheduler leader = cell.schedulers.get(0);
            Scheduler front = cell.schedulers.get(1);
            for (int i = 0; i < 200 && cell.owner() != leader; i++) Thread.sleep(100);
            Thread.sleep(2_000);
            if (cell.owner() == leader) {
                List<Thread> clients = new ArrayList<>();
                for (int i = 0; i < JOBS; i++) clients.add(Daemon.thread(() -> cell.submit(front, 1, TASK_MS)));
                clients.forEach(Thread::start);
                for (Thread client : clients) client.join();
                Thread.sleep(KILL_AFTER_MS);
                if (trouble) {
                    leader.kill();
                    leader.start();
                }
                Thread.sleep(FINISH_MS);
                check(cell, front);
                code = cell.violations.isEmpty() ? 0 : 1;
            }
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(code);
    }

    private static void check(Cell cell, Scheduler front) throws InterruptedException {
        Thread.sleep(CHECKED_MS);
        for (String job : List.copyOf(cell.accepted.keySet())) {
            cell.state(front, job);
            if (!cell.hasStarted(job + ".0.0.0")) {
                cell.violation("LOST", "job " + job + ", accepted 19 s ago, has had no run, with all capacity free");
            }
        }
    }
}
