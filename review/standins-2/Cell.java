import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** The system: one process a machine, started with the command of the deploy file. */
final class Cell implements AutoCloseable {
    static final class Machine {
        final String name;
        final Path settings;
        final Path log;
        final int front;
        final int ready;
        Process process;
        volatile boolean killed;

        Machine(String name, Path settings, Path log, int front, int ready) {
            this.name = name;
            this.settings = settings;
            this.log = log;
            this.front = front;
            this.ready = ready;
        }
    }

    private static final long RESTART_DELAY_MS = 500;

    final List<Machine> machines = new ArrayList<>();
    private final Record record;
    private final Path folder;
    private final List<String> command;
    private volatile boolean closed;

    /** How often processes ended that nobody had killed. */
    private int endedByThemselves;

    Cell(Record record, int count, int storePort) throws IOException {
        this.record = record;
        folder = Files.createTempDirectory("review-2-");
        command = deployCommand();
        for (int i = 1; i <= count; i++) {
            String name = "edge-zone-a-" + i;
            int front = Web.freePort();
            int ready = Web.freePort();
            Path settings = folder.resolve(name + ".ini");
            Files.writeString(settings, """
                    [vm]
                    name = %s
                    region = region-a
                    failure-domain = zone-a
                    stop-grace = 6
                    core-share = 0.75
                    core-speed = 1

                    [listen]
                    callers = 127.0.0.1:%d
                    probes = 127.0.0.1:%d
                    operators = 127.0.0.1:%d
                    peers = 127.0.0.1:%d

                    [store]
                    address = 127.0.0.1:%d

                    [cell]
                    regions = zone-a:region-a
                    max-lease = %d
                    retention = 120
                    config-apply = 3000
                    """.formatted(name, front, ready, Web.freePort(), Web.freePort(), storePort, Platform.MAX_HOLD_MS));
            machines.add(new Machine(name, settings, folder.resolve(name + ".log"), front, ready));
        }
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
    }

    private static List<String> deployCommand() throws IOException {
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("run = \"")) {
                return List.of(line.substring(7, line.lastIndexOf('"')).replace("\\\"", "\"").split(" "));
            }
        }
        throw new IOException("deploy/system.toml has no run command");
    }

    void start(Machine machine) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command);
        Map<String, String> environment = builder.environment();
        environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        environment.put("ANVILBARROW_CONFIG", machine.settings.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(machine.log.toFile()));
        machine.process = builder.start();
        record.line(machine.name + " is started");
    }

    void startAll() throws IOException {
        for (Machine machine : machines) start(machine);
    }

    /** Waits until all machines say that they are ready; returns false after [timeoutMs]. */
    boolean awaitReady(long timeoutMs) throws InterruptedException {
        long until = System.nanoTime() + timeoutMs * 1_000_000;
        while (System.nanoTime() < until) {
            boolean all = machines.stream()
                    .allMatch(m -> Web.call(m.ready, "GET", "/v1/ready", Web.HOST, null, 500).status() == 200);
            if (all) return true;
            Thread.sleep(100);
        }
        return false;
    }

    /** The name of the machine that said last in its log that it has loaded the jobs, or null. */
    Machine owner() throws IOException {
        Machine owner = null;
        long newest = -1;
        for (Machine machine : machines) {
            if (!Files.exists(machine.log)) continue;
            for (String line : Files.readAllLines(machine.log)) {
                int at = line.indexOf("event=shard-loaded");
                if (at < 0) continue;
                long token = Long.parseLong(line.replaceAll(".*token=([0-9]+).*", "$1"));
                if (token > newest) {
                    newest = token;
                    owner = machine;
                }
            }
        }
        return owner;
    }

    /** SIGKILL. */
    void kill(Machine machine) throws InterruptedException {
        machine.killed = true;
        machine.process.destroyForcibly();
        machine.process.waitFor(5, TimeUnit.SECONDS);
        record.line(machine.name + " is killed");
    }

    /** Starts processes that have ended again after a short delay, as the platform does. */
    void supervise() {
        Thread supervisor = new Thread(() -> {
            while (!closed) {
                for (Machine machine : machines) {
                    if (machine.process.isAlive() || closed) continue;
                    if (machine.killed) {
                        machine.killed = false;
                    } else {
                        endedByThemselves++;
                        record.line(machine.name + " ends by itself with status " + machine.process.exitValue());
                    }
                    try {
                        Thread.sleep(RESTART_DELAY_MS);
                        start(machine);
                    } catch (IOException | InterruptedException e) {
                        record.line(machine.name + " cannot be started: " + e);
                        return;
                    }
                }
                try {
                    Thread.sleep(50);
                } catch (InterruptedException e) {
                    return;
                }
            }
        });
        supervisor.setDaemon(true);
        supervisor.start();
    }

    int endedByThemselves() {
        return endedByThemselves;
    }

    /** Copies what the processes logged to [target], so that a failure can be explained. */
    void keepLogs(Path target) throws IOException {
        Files.createDirectories(target);
        for (Machine machine : machines) {
            if (Files.exists(machine.log)) {
                Files.copy(machine.log, target.resolve(machine.name + ".log"),
                        java.nio.file.StandardCopyOption.REPLACE_EXISTING);
            }
        }
    }

    private void killAll() {
        for (Machine machine : machines) if (machine.process != null) machine.process.destroyForcibly();
    }

    @Override
    public void close() {
        closed = true;
        killAll();
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
        } catch (IOException ignored) {
            // The folder is a temporary one.
        }
    }
}
