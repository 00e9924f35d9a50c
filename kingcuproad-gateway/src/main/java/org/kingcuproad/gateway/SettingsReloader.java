package org.kingcuproad.gateway;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.kingcuproad.runtime.log.DecisionLog;

/**
 * Reloads the settings of a running process, on request and periodically, since they may change without a signal.
 * Settings that can't be read are ignored.
 *
 * @param <T> type of the settings
 */
public final class SettingsReloader<T> {

    /**
     * Interval between reads of the settings file, which is small. Nothing requires a change to take effect within a
     * certain time.
     */
    private static final long POLL_INTERVAL_MS = 2_000;

    /**
     * Source of the settings.
     *
     * @param <T> type of the settings
     */
    public interface Source<T> {

        /**
         * Reads the settings.
         *
         * @return the settings
         * @throws IOException if they can't be read or lack a field
         */
        T read() throws IOException;
    }

    private final EventLoop eventLoop;
    private final Source<T> source;
    private final Consumer<T> onChange;
    private final DecisionLog log;
    private T current;
    private @Nullable String reportedFailure;

    /**
     * Creates a reloader that is not started.
     *
     * @param eventLoop event loop that runs the reads
     * @param source source of the settings
     * @param current settings in force
     * @param onChange receives changed settings
     * @param log log of the process
     */
    public SettingsReloader(EventLoop eventLoop, Source<T> source, T current, Consumer<T> onChange, DecisionLog log) {
        this.eventLoop = eventLoop;
        this.source = source;
        this.current = current;
        this.onChange = onChange;
        this.log = log;
    }

    /** Starts to read the settings periodically. */
    public void start() {
        eventLoop.scheduleWithFixedDelay(this::read, POLL_INTERVAL_MS, POLL_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    /** Schedules a read of the settings, for example after a signal. */
    public void readNow() {
        eventLoop.execute(() -> {
            log.event("settings reload requested").write();
            read();
        });
    }

    private void read() {
        T read;
        try {
            read = source.read();
        } catch (IOException failure) {
            String reason = String.valueOf(failure.getMessage());
            if (!reason.equals(reportedFailure)) {
                reportedFailure = reason;
                log.event("settings can't be read").field("reason", reason).write();
            }
            return;
        }
        reportedFailure = null;
        if (!read.equals(current)) {
            current = read;
            onChange.accept(read);
        }
    }
}
