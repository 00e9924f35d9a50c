package org.kingcuproad.runtime.log;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

/** Guards against rare lines of an event that are left out in a flood of others. */
class DecisionLogTest {

    private static final int FLOOD = 150;
    private static final int LIMIT = 100;
    private static final long SECOND_MS = 1_000;

    private final ByteArrayOutputStream written = new ByteArrayOutputStream();
    private final LineSink sink = new LineSink(written);
    private final AtomicLong nowMs = new AtomicLong();
    private final DecisionLog log = new DecisionLog(sink, nowMs::get);

    private List<String> lines() {
        sink.flush(10 * SECOND_MS);
        return written.toString(StandardCharsets.UTF_8).lines().toList();
    }

    @Test
    void limitsEachKindByItself() {
        for (int number = 0; number < FLOOD; number++) {
            log.event("ended", "refused").write();
        }
        log.event("ended", "served").field("id", "own").write();

        assertThat(lines()).hasSize(LIMIT + 1).last().asString().contains("\"event\":\"ended\"", "\"id\":\"own\"");
    }

    @Test
    void tellsHowManyLinesOfAKindWereLeftOut() {
        for (int number = 0; number < FLOOD; number++) {
            log.event("ended", "refused").write();
        }
        nowMs.addAndGet(SECOND_MS);
        log.event("ended", "refused").write();

        assertThat(lines()).last().asString().contains("\"suppressed\":" + (FLOOD - LIMIT));
    }

    /** A process that is killed, or has no later line of the kind, never writes the count. */
    @Test
    void countsTheLinesThatWereLeftOut() {
        for (int number = 0; number < FLOOD; number++) {
            log.event("ended", "refused").write();
        }

        assertThat(log.suppressedLines()).isEqualTo(FLOOD - LIMIT);
    }
}
