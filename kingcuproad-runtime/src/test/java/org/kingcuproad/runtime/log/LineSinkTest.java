package org.kingcuproad.runtime.log;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Guards against a process that exits before its last log lines are written. */
class LineSinkTest {

    private static final long WRITE_MS = 200;

    /** Output whose writes take long, as those to a full pipe do. */
    private static final class SlowOutput extends OutputStream {

        private final ByteArrayOutputStream written = new ByteArrayOutputStream();

        @Override
        public void write(int value) {
            throw new UnsupportedOperationException("lines are written as arrays");
        }

        @Override
        public void write(byte[] bytes, int from, int length) {
            try {
                Thread.sleep(WRITE_MS);
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
            written.write(bytes, from, length);
        }

        private String text() {
            return written.toString(StandardCharsets.UTF_8);
        }
    }

    @Test
    void flushWaitsForTheLinesThatAreBeingWritten() throws Exception {
        SlowOutput output = new SlowOutput();
        LineSink sink = new LineSink(output);
        sink.offer("last line");
        Thread.sleep(WRITE_MS / 4);

        sink.flush(10 * WRITE_MS);

        assertThat(output.text()).isEqualTo("last line\n");
    }

    /** Without a reader no line tells how many were lost. */
    @Test
    void countsTheLinesThatAnOutputWithoutReaderLost() {
        LineSink sink = new LineSink(new OutputStream() {
            @Override
            public void write(int value) throws IOException {
                throw new IOException("no reader");
            }
        });
        sink.offer("first");
        sink.offer("second");

        sink.flush(10 * WRITE_MS);

        assertThat(sink.droppedLines()).isEqualTo(2);
    }
}
