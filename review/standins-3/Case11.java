import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The machines that do not lead are restarted one by one, as planned. Then one of ten workers is partitioned from all machines and from the store for 7 s, and the store is slow for 4.5 s while
 * it comes back, three times. At the end the machine that leads is restarted as planned, and all jobs are asked for.
 */
public final class Case11 {
    private static final int WORKERS = 10;
    private static final int SCHEDULERS = 3;
    private static final int CLIENTS = 12;
    private static final long CUT_MS = 7_000;
    private static final long SLOW_FROM_MS = 6_500;
    private static final long SLOW_MS = 4_500;
    private static final int SLOWNESS = 60;
    private static final int ROUNDS = 3;
    private static final long AFTER_CUT_MS = 7_000;

    private Case11() {
    }

    public static void main(String[] args) {
        int code = 2;
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        try (Cell cell = new Cell(Path.of(args[0]), Path.of(args[1]), WORKERS, SCHEDULERS)) {
            cell.startAll();
            Thread.sleep(3_000);
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                Scheduler scheduler = cell.schedulers.get(i % SCHEDULERS);
                clients.add(Daemon.thread(() -> submitSteadily(cell, scheduler)));
            }
            clients.forEach(Thread::start);
            for (int round = 0; round < ROUNDS; round++) play(cell, trouble);
            clients.forEach(Thread::interrupt);
            for (Thread client : clients) client.join();
            Scheduler leader = cell.owner();
            leader.terminate();
            leader.start();
            Thread.sleep(6_000);
            ask(cell);
            cell.record.line("%d jobs accepted, %d violations", cell.accepted.size(), cell.violations.size());
            code = cell.violations.isEmpty() ? 0 : 1;
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(code);
    }

    private static void play(Cell cell, boolean trouble) throws Exception {
        Scheduler leader = cell.owner();
        for (Scheduler scheduler : cell.schedulers) {
            if (scheduler != leader) {
                scheduler.terminate();
                scheduler.start();
                Thread.sleep(1_500);
            }
        }
        Worker worker = idle(cell);
        if (trouble) worker.cutOff();
        Thread.sleep(SLOW_FROM_MS);
        if (trouble) cell.slow(SLOWNESS);
        Thread.sleep(CUT_MS - SLOW_FROM_MS);
        if (trouble) worker.reconnect();
        Thread.sleep(SLOW_FROM_MS + SLOW_MS - CUT_MS);
        if (trouble) cell.slow(1);
        Thread.sleep(AFTER_CUT_MS);
    }

    /** Returns the idle worker that was handed from one machine to another most often, as its token shows. */
    private static Worker idle(Cell cell) throws InterruptedException {
        while (true) {
            Optional<Worker> idle =
                cell.workers.stream().filter(Worker::isIdle).max(Comparator.comparingLong(Worker::highestToken));
            if (idle.isPresent()) return idle.get();
            Thread.sleep(5);
        }
    }

    private static void submitSteadily(Cell cell, Scheduler scheduler) {
        try {
            while (true) {
                cell.submit(scheduler, 1, 300);
                Thread.sleep(1_000);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Every accepted job must be known. */
    private static void ask(Cell cell) throws InterruptedException {
        for (Map.Entry<String, Double> job : List.copyOf(cell.accepted.entrySet())) {
            Client.Reply reply = cell.state(cell.schedulers.get(0), job.getKey());
            if (reply.status == 410) {
                cell.violation("LOST", String.format("job %s, accepted at %.3f, is not known", job.getKey(), job.getValue()));
            }
        }
    }
}
