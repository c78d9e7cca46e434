/** A client's view of one queue, at the front address of any machine. */
final class Queue {
    static final int DEADLINE_MS = 3_000;
    private static final int RETRIES = 4;
    private final Record record;
    private final Cell cell;
    private final String host;
    private final String prefix;
    private int next;

    Queue(Record record, Cell cell, String host, String prefix) {
        this.record = record;
        this.cell = cell;
        this.host = host;
        this.prefix = prefix;
    }

    private synchronized Cell.Machine pick() {
        next++;
        return cell.machines.get(next % cell.machines.size());
    }

    private Web.Answer call(String method, String id, String body) {
        Cell.Machine machine = pick();
        Web.Answer answer = Web.call(machine.front, method, prefix + id, host, body, DEADLINE_MS);
        record.line("client: " + method + " " + prefix + id + " at " + machine.name + " -> " + answer.status() + " "
                + answer.body());
        return answer;
    }

    /** Submits [job]; tries again at other machines. Returns true if it was accepted. */
    boolean submit(Platform platform, Platform.Job job) throws InterruptedException {
        platform.know(job);
        for (int attempt = 0; attempt <= RETRIES; attempt++) {
            int status = call("POST", job.id, job.wire()).status();
            if (status / 100 == 2) return true;
            if (status == 400 || status == 404) return false;
            Thread.sleep(500);
        }
        return false;
    }

    /** Returns the state of job [id], or the status if it is not 200. */
    String state(String id) {
        Web.Answer answer = call("GET", id, null);
        if (answer.status() != 200) return "status " + answer.status();
        return Json.text(Json.object(answer.body()), "state", "none");
    }

    /** Returns how many jobs are said to wait in the queue, or -1 without an answer. */
    long pending() {
        Web.Answer answer = call("GET", "", null);
        return answer.status() == 200 ? Json.number(Json.object(answer.body()), "pending", -1) : -1;
    }

    boolean cancel(String id) {
        int status = call("DELETE", id, null).status();
        return status / 100 == 2 || status == 410;
    }

    /** Waits until job [id] is shown in [state]; returns the last state seen. */
    String await(String id, String state, long timeoutMs) throws InterruptedException {
        long until = System.nanoTime() + timeoutMs * 1_000_000;
        String seen = state(id);
        while (!seen.equals(state) && System.nanoTime() < until) {
            Thread.sleep(500);
            seen = state(id);
        }
        return seen;
    }
}
