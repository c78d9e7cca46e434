import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Clients ask a machine, which was restarted as planned, for the state of jobs. The machine that leads freezes for little
 * more than a second, and the process that the clients ask is killed and started again meanwhile. No client may get the
 * state of another job. This is repeated until it happens, nine times at most.
 */
public final class Case14 {
    private static final int WORKERS = 6;
    private static final List<Double> CORES = List.of(1.5, 0.75, 0.75);
    private static final int CLIENTS = 40;
    private static final int ROUNDS = 9;
    private static final long SHORTEST_FREEZE_MS = 1_050;
    private static final long FREEZE_STEP_MS = 50;
    private static final int FREEZES = 5;
    private static final long KILL_AFTER_MS = 30;
    private static final long LONG_TASK_MS = 200_000;

    private Case14() {
    }

    public static void main(String[] args) {
        int code = 2;
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        try (Cell cell = new Cell(Path.of(args[0]), Path.of(args[1]), WORKERS, CORES)) {
            cell.startAll();
            Scheduler leader = cell.schedulers.get(0);
            Scheduler front = cell.schedulers.get(1);
            Scheduler other = cell.schedulers.get(2);
            for (int i = 0; i < 200 && cell.owner() != leader; i++) Thread.sleep(100);
            Thread.sleep(3_000);
            if (cell.owner() == leader) {
                String shortJob = cell.submit(other, 1, 200);
                String longJob = cell.submit(other, 1, LONG_TASK_MS);
                boolean prepared = cell.awaitRunning(longJob, 1, 5_000);
                Thread.sleep(1_000);
                prepared &= isCompleted(cell, other, shortJob);
                if (prepared) {
                    for (int round = 0; round < ROUNDS && cell.violations.isEmpty(); round++) {
                        front.terminate();
                        front.start();
                        for (int i = 0; i < 30 && !cell.isReady(front); i++) Thread.sleep(100);
                        Thread.sleep(1_500);
                        long freezeMs = SHORTEST_FREEZE_MS + round % FREEZES * FREEZE_STEP_MS;
                        Scheduler leads = cell.owner();
                        if (leads != front) play(cell, trouble, leads, front, shortJob, longJob, freezeMs);
                    }
                    code = cell.violations.isEmpty() ? 0 : 1;
                }
            }
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(code);
    }

    private static boolean isCompleted(Cell cell, Scheduler scheduler, String job) throws InterruptedException {
        for (int i = 0; i < 10; i++) {
            if (cell.state(scheduler, job).body.contains("completed")) return true;
            Thread.sleep(300);
        }
        return false;
    }

    private static void play(Cell cell, boolean trouble, Scheduler leader, Scheduler front, String shortJob, String longJob,
        long freezeMs) throws Exception {
        for (int i = 0; i < 4; i++) {
            cell.state(front, shortJob);
            Thread.sleep(50);
        }
        long start = System.nanoTime();
        if (trouble) leader.signal("STOP");
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) clients.add(Daemon.thread(() -> cell.state(front, shortJob)));
        clients.forEach(Thread::start);
        Thread.sleep(KILL_AFTER_MS);
        if (trouble) {
            front.kill();
            front.start();
        }
        List<Thread> later = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) later.add(Daemon.thread(() -> askUntilAnswered(cell, front, longJob)));
        later.forEach(Thread::start);
        Thread.sleep(Math.max(0, freezeMs - (System.nanoTime() - start) / 1_000_000));
        if (trouble) leader.signal("CONT");
        for (Thread client : clients) client.join();
        for (Thread client : later) client.join();
    }

    /** Asks for the state of a job that runs all the while, as a client does that cannot connect at first. */
    private static void askUntilAnswered(Cell cell, Scheduler front, String job) {
        try {
            for (int i = 0; i < 200; i++) {
                Client.Reply reply = Client.call(front.callers, "GET", job, null, Cell.DEADLINE_MS);
                if (reply.status == 200) {
                    cell.record.line("client: GET %s at %s -> %s", job, front.name, reply);
                    if (!reply.body.contains("running")) {
                        cell.violation("MIXED", "job " + job + " is shown as " + reply.body + " while its task runs");
                    }
                    return;
                }
                Thread.sleep(20);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
