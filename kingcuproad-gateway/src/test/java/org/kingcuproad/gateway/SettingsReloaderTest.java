package org.kingcuproad.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.kingcuproad.runtime.log.DecisionLog;
import org.kingcuproad.runtime.log.LineSink;

/**
 * Guards against settings that take effect only after a restart, and against a partially written file that reverts
 * them.
 */
class SettingsReloaderTest {

    private final NioEventLoopGroup eventLoops = new NioEventLoopGroup(1);
    private final Deque<String> file = new ArrayDeque<>();
    private final List<String> applied = new ArrayList<>();
    private final SettingsReloader<String> reloader = new SettingsReloader<>(
            eventLoops.next(),
            this::next,
            "first",
            applied::add,
            new DecisionLog(new LineSink(OutputStream.nullOutputStream()), () -> 0L));

    private String next() throws IOException {
        String read = file.removeFirst();
        if (read.isEmpty()) {
            throw new IOException("partially written");
        }
        return read;
    }

    private void readAll(String... contents) throws Exception {
        for (String content : contents) {
            file.add(content);
            reloader.readNow();
        }
        eventLoops.submit(() -> {}).get(5, TimeUnit.SECONDS);
    }

    @AfterEach
    void stop() {
        eventLoops.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    @Test
    void otherSettingsAreAppliedOnce() throws Exception {
        readAll("first", "second", "second", "third");

        assertThat(applied).containsExactly("second", "third");
    }

    @Test
    void unreadableSettingsChangeNothing() throws Exception {
        readAll("second", "", "second", "third");

        assertThat(applied).containsExactly("second", "third");
    }
}
