import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Jobs come steadily. The process that leads is killed twice within about a second, and started again at once each time.
 * No task may run in two places. This is repeated until one does, 24 times at most.
 */
public final class Case12 {
    private static final int WORKERS = 12;
    private static final List<Double> CORES = List.of(1.5, 0.75, 0.75);
    private static final int CLIENTS = 6;
    private static final int TASKS = 6;
    private static final long TASK_MS = 1_500;
    private static final long CLIENT_GAP_MS = 250;
    private static final int ROUNDS = 24;
    private static final long SHORTEST_GAP_MS = 700;
    private static final long GAP_STEP_MS = 100;
    private static final int GAPS = 10;
    private static final long CALM_MS = 2_200;

    private Case12() {
    }

    public static void main(String[] args) {
        int code = 2;
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        try (Cell cell = new Cell(Path.of(args[0]), Path.of(args[1]), WORKERS, CORES, false, true)) {
            cell.startAll();
            Scheduler leader = cell.schedulers.get(0);
            for (int i = 0; i < 100 && cell.owner() != leader; i++) Thread.sleep(100);
            if (cell.owner() == leader) {
                List<Thread> clients = new ArrayList<>();
                for (int i = 0; i < CLIENTS; i++) clients.add(Daemon.thread(() -> submitSteadily(cell)));
                clients.forEach(Thread::start);
                Thread.sleep(CALM_MS);
                for (int round = 0; round < ROUNDS && cell.violations.isEmpty(); round++) {
                    restart(leader, trouble);
                    Thread.sleep(SHORTEST_GAP_MS + round % GAPS * GAP_STEP_MS);
                    restart(leader, trouble);
                    Thread.sleep(CALM_MS);
                }
                clients.forEach(Thread::interrupt);
                for (Thread client : clients) client.join();
                cell.record.line("%d jobs accepted, %d violations", cell.accepted.size(), cell.violations.size());
                code = cell.violations.isEmpty() ? 0 : 1;
            }
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(code);
    }

    private static void restart(Scheduler leader, boolean trouble) throws Exception {
        if (trouble) {
            leader.kill();
            leader.start();
        }
    }

    private static void submitSteadily(Cell cell) {
        try {
            while (true) {
                cell.submit(cell.schedulers.get(1), TASKS, TASK_MS);
                Thread.sleep(CLIENT_GAP_MS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
