import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run to record.txt, with the seconds since the start of the case. */
final class Record implements AutoCloseable {
    private final PrintWriter out;
    private final long startNanos = System.nanoTime();

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    double seconds() {
        return (System.nanoTime() - startNanos) / 1e9;
    }

    synchronized void line(String format, Object... values) {
        out.printf("%8.3f %s%n", seconds(), String.format(format, values));
        out.flush();
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
