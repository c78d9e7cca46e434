import java.util.List;

/**
 * A worker is lost for good. A gang that would run faster on one rack then waits for a rack that never becomes idle, as
 * tasks that last run there, though there is room for it twice over on several racks.
 */
public final class RackGangWaits implements Main.Case {
    private static final String SERVICE = "svc-a";
    private static final int[] RACKS = {4, 3, 3};
    private static final long CORES = 32_000;
    private static final long CALM_MS = 20_000;
    private static final long WAIT_MS = 45_000;

    @Override
    public String rule() {
        return "LOST";
    }

    @Override
    public void play(Record record, Platform platform, boolean trouble) throws Exception {
        platform.configure(7, List.of(Platform.route("r-one", "one.example", "/one/", SERVICE)), SERVICE);
        int workers = 0;
        for (int rack = 0; rack < RACKS.length; rack++) {
            for (int i = 0; i < RACKS[rack]; i++) {
                platform.addWorker("i-" + rack + "-" + i, SERVICE, "a", "r1-" + rack, CORES, 65_536);
                workers++;
            }
        }
        try (Cell cell = new Cell(record, 3, platform.storePort())) {
            cell.startAll();
            if (!cell.awaitReady(20_000)) throw new IllegalStateException("the machines do not become ready");
            Queue queue = new Queue(record, cell, "one.example", "/one/");

            Platform.Step lasting = new Platform.Step();
            lasting.count = workers;
            lasting.cpu = 12_000;
            lasting.lasting = true;
            lasting.maxPerServer = 1;
            Platform.Job service = new Platform.Job("00000000000000a1", "service", lasting);
            if (!queue.submit(platform, service)) throw new IllegalStateException("the service was not accepted");
            Thread.sleep(5_000);
            if (platform.running(service.id).size() < workers) throw new IllegalStateException("the service does not start");

            if (trouble) platform.workers.get("i-0-0").losePower();
            Thread.sleep(CALM_MS);

            Platform.Step gang = new Platform.Step();
            gang.count = 4;
            gang.cpu = 11_000;
            gang.gang = true;
            gang.sameRack = true;
            gang.estimatedMs = 1_000;
            gang.workMs = 1_000;
            Platform.Job work = new Platform.Job("00000000000000c1", "gang", gang);
            if (!queue.submit(platform, work)) throw new IllegalStateException("the gang was not accepted");
            String state = queue.await(work.id, "completed", WAIT_MS);

            long sound = platform.sum(worker -> worker.isDark() ? 0 : 1);
            long used = platform.runningCpu();
            long fits = platform.sum(worker -> worker.isDark() ? 0 : (CORES - worker.usedCpu()) / gang.cpu);
            record.line("in use " + used + " of " + sound * CORES + " thousandths of a core; " + fits
                    + " tasks of the gang fit now");
            boolean owed = used * 2 < sound * CORES && fits >= 2L * gang.count;
            if (!state.equals("completed") && owed) {
                record.broken("LOST", "the gang is '" + state + "' after " + WAIT_MS / 1_000 + " s with "
                        + platform.starts(work.id) + " starts; there is room for " + fits + " of its tasks, and it has "
                        + gang.count + "; under half of the capacity is in use");
            }
            cell.keepLogs(java.nio.file.Path.of("target/review-2/logs"));
        }
    }
}
