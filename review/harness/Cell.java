package review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small deployment: the store, workers, and processes of the system that run with the deploy file's command. */
final class Cell {
    static final String HOST = "queue.example";
    static final String PREFIX = "/permits/";
    static final String SERVICE = "huoltoportti";

    /** Bounds of the site that the cases name. */
    static final int MAX_HOLD_MILLIS = 10_000;
    private static final int DEADLINE_MILLIS = 3_000;
    private static final int RESTART_MILLIS = 1_000;
    private static final int RACK_WORKERS = 8;

    final Path root;
    final Record record;
    final Store store;
    final List<Worker> workers = new ArrayList<>();
    final List<Worker.Run> runs = new ArrayList<>();
    final List<Node> nodes = new ArrayList<>();
    private final Path folder;
    private volatile boolean closing = false;

    /** One machine of the system. */
    final class Node {
        final String name;
        final String callers;
        final String probes;
        private final Path settings;
        private Process process;

        /** How often the process has ended without a kill. */
        int ends = 0;

        Node(int number) throws IOException {
            name = "edge-" + number;
            List<ServerSocket> free = new ArrayList<>();
            for (int i = 0; i < 4; i++) free.add(new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1")));
            List<String> addresses = free.stream().map(one -> "127.0.0.1:" + one.getLocalPort()).toList();
            for (ServerSocket one : free) one.close();
            callers = addresses.get(0);
            probes = addresses.get(1);
            settings = folder.resolve(name + ".ini");
            Files.writeString(settings, String.join("\n",
                "[vm]", "name = " + name, "region = pohjanmaa", "failure-domain = pohjanmaa-a", "stop-grace = 6",
                "core-share = 0.75", "core-speed = 1",
                "[listen]", "callers = " + callers, "probes = " + probes, "operators = " + addresses.get(2),
                "peers = " + addresses.get(3),
                "[store]", "address = " + store.address(),
                "[advice]", "address = none",
                "[cell]", "regions = pohjanmaa-a:pohjanmaa", "max-lease = " + MAX_HOLD_MILLIS, "retention = 120",
                "config-apply = 3000", ""));
        }

        void start() throws IOException {
            ProcessBuilder builder = new ProcessBuilder(command());
            builder.directory(root.toFile());
            builder.environment().put("ANVILBARROW_CONFIG", settings.toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
            process = builder.start();
            record.line(name + " is started");
        }

        void kill() throws InterruptedException {
            process.destroyForcibly();
            process.waitFor();
            record.line(name + " is killed");
        }

        boolean isReady() {
            Http.Response answer = Http.call(probes, "GET", "/v1/ready", Map.of("Host", "probe"), null, 1_000);
            return answer != null && answer.status() == 200;
        }
    }

    Cell(Path root, Record record, int nodeCount, int workerCount, int workerCpu, Map<String, Object> queue) throws IOException {
        this.root = root;
        this.record = record;
        folder = Files.createTempDirectory("anvilbarrow-review");
        store = new Store(record);
        Map<String, Object> route = new LinkedHashMap<>(Map.of("name", "permits", "host", HOST, "path_prefix", PREFIX,
            "service", SERVICE, "priority", 0, "max_attempts", 4, "stretch", 1.5, "target_duration_ms", 600));
        route.putAll(queue);
        store.put("keyed.op", "config", Map.of("version", 1, "routes", List.of(route),
            "services", List.of(Map.of("name", SERVICE, "enforces_capacity", false)), "limits", Map.of()));
        for (int i = 1; i <= workerCount; i++) {
            Worker.Settings settings =
                new Worker.Settings(SERVICE, "pohjanmaa-a", workerCpu, 262_144, List.of("a", "rack-" + (1 + (i - 1) / RACK_WORKERS)), MAX_HOLD_MILLIS);
            workers.add(new Worker("worker-" + i, settings, store, record, runs));
        }
        for (int i = 1; i <= nodeCount; i++) nodes.add(new Node(i));
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    /** The command of the deploy file. */
    private List<String> command() throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
            if (line.startsWith("run = ")) return List.of(line.substring(7, line.length() - 1).split(" "));
        }
        throw new IOException("deploy/system.toml names no command");
    }

    /** Starts all processes and waits until they are ready; returns false if they aren't in time. */
    boolean start(long withinMillis) throws IOException, InterruptedException {
        for (Node node : nodes) node.start();
        long until = Record.millis() + withinMillis;
        while (!nodes.stream().allMatch(Node::isReady)) {
            if (Record.millis() > until) return false;
            Thread.sleep(100);
        }
        record.line("all processes are ready");
        return true;
    }

    /** Starts processes that have ended by themselves again after a second, as the platform does. */
    void keepRunning() {
        Http.daemon(() -> {
            while (!closing) {
                try {
                    Thread.sleep(RESTART_MILLIS);
                    for (Node node : nodes) {
                        if (closing || node.process.isAlive()) continue;
                        node.ends++;
                        record.line(node.name + " has ended by itself with " + node.process.exitValue());
                        node.start();
                    }
                } catch (IOException | InterruptedException e) {
                    return;
                }
            }
        });
    }

    private void close() {
        closing = true;
        for (Node node : nodes) if (node.process != null) node.process.destroyForcibly();
        if (System.getenv("KEEP_LOGS") == null) {
            try (var files = Files.list(folder)) {
                for (Path file : files.toList()) Files.delete(file);
                Files.delete(folder);
            } catch (IOException e) {
                record.line("the folder " + folder.getFileName() + " was not deleted");
            }
        } else {
            System.out.println("logs in " + folder);
        }
    }

    Http.Response call(Node node, String method, String id, String body) {
        Map<String, String> headers =
            Map.of("Host", HOST, "X-Anvilbarrow-Request-Deadline", String.valueOf(DEADLINE_MILLIS));
        return Http.call(node.callers, method, PREFIX + id, headers, body, DEADLINE_MILLIS);
    }

    /** Hands a job in as clients do: a call without a definite answer is repeated at the next node. Returns the status. */
    int submit(String id, String body, int attempts) throws InterruptedException {
        int status = 0;
        for (int attempt = 0; attempt < attempts; attempt++) {
            Node node = nodes.get(attempt % nodes.size());
            Http.Response answer = call(node, "POST", id, body);
            status = answer == null ? 0 : answer.status();
            record.line("POST " + id + " at " + node.name + " -> " + (answer == null ? "no answer" : String.valueOf(status)));
            if (status == 200) return status;
            Thread.sleep(300);
        }
        return status;
    }

    /** Returns the state that a GET shows, or the status if it isn't 200. */
    String state(Node node, String id) {
        Http.Response answer = call(node, "GET", id, null);
        if (answer == null) return "no answer";
        if (answer.status() != 200) return String.valueOf(answer.status());
        return String.valueOf(Json.object(answer.text()).get("state"));
    }

    /** Waits until {@code state} is shown; returns the last state that was. */
    String await(String id, String state, long withinMillis) throws InterruptedException {
        long until = Record.millis() + withinMillis;
        String shown = state(nodes.get(0), id);
        while (!shown.equals(state) && Record.millis() < until) {
            Thread.sleep(100);
            shown = state(nodes.get(0), id);
        }
        record.line("GET " + id + " -> " + shown);
        return shown;
    }

    /**
     * Returns the starts that break TWICE: a start while another run of the task is at work, or after one has ended
     * {@code done} whose end was taken note of, unless the worker's lease lapsed between the two.
     */
    List<String> startedTwice() {
        List<String> broken = new ArrayList<>();
        List<Worker.Run> copy;
        synchronized (runs) {
            copy = new ArrayList<>(runs);
        }
        for (int later = 0; later < copy.size(); later++) {
            Worker.Run second = copy.get(later);
            for (int earlier = 0; earlier < later; earlier++) {
                Worker.Run first = copy.get(earlier);
                if (!first.task.equals(second.task)) continue;
                if (first.running() || first.endedAt > second.startedAt) {
                    broken.add(second.task + ": run " + second.number + " starts at " + second.startedAt + " while run "
                        + first.number + " is at work");
                } else if ("done".equals(first.result) && first.acknowledged && !first.lapsedBeforeNote) {
                    broken.add(second.task + ": run " + second.number + " starts at " + second.startedAt + ", run "
                        + first.number + " has ended done at " + first.endedAt + ", end " + first.endNumber + " of "
                        + first.worker.id + " life " + first.life + " was taken note of");
                }
            }
        }
        return broken;
    }
}
