import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Record of what was sent, answered and run, with the time since its start in milliseconds. */
final class Record implements AutoCloseable {

    private final PrintWriter out;
    private final long startMs = System.currentTimeMillis();

    Record(Path file) {
        try {
            out = new PrintWriter(Files.newBufferedWriter(file));
        } catch (IOException failed) {
            throw new UncheckedIOException(failed);
        }
    }

    long nowMs() {
        return System.currentTimeMillis() - startMs;
    }

    synchronized void line(String format, Object... arguments) {
        out.printf("%7d  %s%n", nowMs(), String.format(format, arguments));
        out.flush();
    }

    @Override
    public void close() {
        out.close();
    }
}
