package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run to record.txt, one line each with the milliseconds since the start. */
final class Record {
    private static final long START = System.nanoTime();
    private final PrintWriter out;

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    static long millis() {
        return (System.nanoTime() - START) / 1_000_000;
    }

    synchronized void line(String text) {
        out.printf("%7d %s%n", millis(), text);
        out.flush();
    }
}
