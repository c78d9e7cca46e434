import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** The record of a case: what was sent, answered and run, and the rules that were broken. */
final class Record implements AutoCloseable {
    private final PrintWriter out;
    private final long start = System.nanoTime();
    private final List<String> broken = new ArrayList<>();

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    synchronized void line(String text) {
        out.printf("%8.3f s  %s%n", (System.nanoTime() - start) / 1e9, text);
        out.flush();
    }

    synchronized void broken(String rule, String text) {
        broken.add(rule);
        line("BROKEN " + rule + ": " + text);
        System.out.println("BROKEN " + rule + ": " + text);
    }

    synchronized boolean isBroken(String rule) {
        return broken.contains(rule);
    }

    /** The rules that were broken, in the order in which that was seen. */
    synchronized List<String> brokenRules() {
        return List.copyOf(broken);
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
