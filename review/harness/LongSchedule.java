package review;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** A recurring job is handed in whose first times are past; then other jobs are handed in and cancelled. */
final class LongSchedule extends Case {
    /** Once a second for an hour, against once a second for a minute. */
    private static final int MANY_TIMES = 3_600;
    private static final int FEW_TIMES = 60;
    private static final int INTERVAL_MILLIS = 1_000;
    private static final int OTHERS = 6;

    /** The site's bound on the answer to a cancel. */
    private static final int ACK_MILLIS = 5_000;

    private static final String LONG_JOB =
        "{\"spec\":\"ms=60000\",\"steps\":[{\"count\":1,\"cpu\":1000,\"mem_mb\":100,\"estimated_ms\":60000}]}";

    private static String step(int dependsOn) {
        String dependency = dependsOn < 0 ? "" : ",\"depends_on\":[" + dependsOn + "]";
        return "{\"count\":1,\"cpu\":5600,\"mem_mb\":21000,\"estimated_ms\":500" + dependency + "}";
    }

    @Override
    List<String> play() throws Exception {
        Cell cell = new Cell(root, record, 3, 4, 64_000, Map.of());
        if (!cell.start(20_000)) return null;
        List<String> others = new ArrayList<>();
        for (int i = 0; i < OTHERS; i++) {
            String id = String.format("%016x", 0xa0 + i);
            if (cell.submit(id, LONG_JOB, 8) != 200) return null;
            others.add(id);
        }
        int times = trouble ? MANY_TIMES : FEW_TIMES;
        long start = System.currentTimeMillis() - (long) times * INTERVAL_MILLIS;
        String recurring = "{\"spec\":\"ms=500\",\"repeat_count\":" + times + ",\"start_at_ms\":" + start + ",\"interval_ms\":"
            + INTERVAL_MILLIS + ",\"steps\":[" + step(-1) + "," + step(0) + "," + step(1) + "]}";
        String id = String.format("%016x", 0xb0);
        if (cell.submit(id, recurring, 4) != 200) return null;
        Thread.sleep(20_000);
        List<String> broken = new ArrayList<>();
        int acknowledged = 0;
        for (String other : others) {
            long sent = Record.millis();
            int status = 0;
            while (status != 200 && status != 410 && Record.millis() < sent + ACK_MILLIS) {
                Http.Response answer = cell.call(cell.nodes.get(1), "DELETE", other, null);
                status = answer == null ? 0 : answer.status();
                if (status == 503) Thread.sleep(200);
                record.line("DELETE " + other + " -> " + (answer == null ? "no answer" : String.valueOf(status)));
            }
            if (status == 200 || status == 410) acknowledged++;
            else broken.add("the cancel of " + other + " has no 2xx or 410 after " + (Record.millis() - sent) + " ms");
        }
        record.line(acknowledged + " of " + others.size() + " cancels were acknowledged");
        // A tenth of the cancels may be late.
        if (broken.size() * 10 <= others.size()) broken.clear();
        int late = cell.submit(String.format("%016x", 0xc0), LONG_JOB, 3);
        record.line("another job is answered with " + late + ", the recurring one is shown as "
            + cell.state(cell.nodes.get(0), id) + ", appends refused for their size: " + cell.store.refusedForSize
            + ", longest record: " + cell.store.longestRecord + " bytes");
        return broken;
    }

    public static void main(String[] args) {
        run(new LongSchedule(), args);
    }
}
