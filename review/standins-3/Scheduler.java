import java.io.File;
import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One scheduler process, started with the command of the deploy file. */
final class Scheduler {
    private static final int LOWEST_PORT = 15_000;
    private static final int HIGHEST_PORT = 30_000;

    final String name;
    final int callers;
    private final int probes;
    private final int operators;
    private final int peers;
    private final Path repository;
    private final Path folder;
    private final Path settings;
    private final Record record;
    private Process process;

    Scheduler(String name, String store, String advice, double cores, boolean nearWorkers, Path repository, Path folder, Record record) throws IOException {
        this.name = name;
        this.repository = repository;
        this.folder = folder;
        this.record = record;
        callers = freePort();
        probes = freePort();
        operators = freePort();
        peers = freePort();
        settings = folder.resolve(name + ".ini");
        Files.writeString(settings, "[vm]\nname = " + name + "\nregion = " + (nearWorkers ? "r2" : "r1")
            + "\nfailure-domain = " + (nearWorkers ? "zb" : "za") + "\nstop-grace = 6\ncore-share = " + cores
            + "\ncore-speed = 1\n\n[listen]\ncallers = 127.0.0.1:" + callers + "\nprobes = 127.0.0.1:" + probes
            + "\noperators = 127.0.0.1:" + operators + "\npeers = 127.0.0.1:" + peers + "\n\n[store]\naddress = " + store
            + (advice == null ? "" : "\n\n[advice]\naddress = " + advice) + "\n\n[cell]\nregions = za:r1,zb:r2\nmax-lease = 6000\nretention = 120\nconfig-apply = 3000\n");
    }

    /** Returns a free port below those that the system takes for outgoing connections. */
    private static int freePort() throws IOException {
        for (int attempt = 0; attempt < 100; attempt++) {
            int port = ThreadLocalRandom.current().nextInt(LOWEST_PORT, HIGHEST_PORT);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return socket.getLocalPort();
            } catch (BindException e) {
                // Taken by another process.
            }
        }
        throw new IOException("no free port was found");
    }

    String peerAddress() {
        return "127.0.0.1:" + peers;
    }

    int probes() {
        return probes;
    }

    void start() throws IOException {
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(repository.resolve("deploy/system.toml")));
        if (!run.find()) throw new IOException("deploy/system.toml has no command");
        List<String> command = new ArrayList<>(List.of(run.group(1).split(" ")));
        ProcessBuilder builder = new ProcessBuilder(command).directory(repository.toFile()).redirectErrorStream(true);
        builder.environment().put("ANVILBARROW_CONFIG", settings.toString());
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(new File(folder.toFile(), name + ".log")));
        process = builder.start();
        record.line("%s: started", name);
    }

    /** Asks the process to stop, and waits until it has. */
    void terminate() throws InterruptedException {
        record.line("%s: SIGTERM", name);
        process.destroy();
        if (!process.waitFor(6, TimeUnit.SECONDS)) process.destroyForcibly();
        record.line("%s: stopped", name);
    }

    void kill() throws InterruptedException {
        record.line("%s: SIGKILL", name);
        process.destroyForcibly();
        process.waitFor();
    }

    void signal(String signal) throws IOException, InterruptedException {
        record.line("%s: SIG%s", name, signal);
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).inheritIO().start().waitFor();
    }

    boolean isAlive() {
        return process != null && process.isAlive();
    }

    void end() {
        if (process != null) process.destroyForcibly();
    }
}
