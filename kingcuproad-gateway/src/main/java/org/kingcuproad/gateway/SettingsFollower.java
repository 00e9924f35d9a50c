package org.kingcuproad.gateway;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.kingcuproad.runtime.log.DecisionLog;

/**
 * Reads the settings of a running process again, when asked and from time to time, since they may change without a
 * signal. Unreadable settings change nothing.
 *
 * @param <T> type of the settings
 */
public final class SettingsFollower<T> {

    /** One read of a small file in this time; the settings have no bound of their own. */
    private static final long POLL_MS = 2_000;

    /**
     * Where settings come from.
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
    private T known;
    private @Nullable String reportedDefect;

    /**
     * Creates a follower that does nothing yet.
     *
     * @param eventLoop runs everything
     * @param source where settings come from
     * @param known settings in force
     * @param onChange receives other settings
     * @param log log of the process
     */
    public SettingsFollower(EventLoop eventLoop, Source<T> source, T known, Consumer<T> onChange, DecisionLog log) {
        this.eventLoop = eventLoop;
        this.source = source;
        this.known = known;
        this.onChange = onChange;
        this.log = log;
    }

    /** Starts to read the settings from time to time. */
    public void start() {
        eventLoop.scheduleWithFixedDelay(this::read, POLL_MS, POLL_MS, TimeUnit.MILLISECONDS);
    }

    /** Reads the settings soon. */
    public void readNow() {
        eventLoop.execute(() -> {
            log.event("settings signal").write();
            read();
        });
    }

    private void read() {
        T read;
        try {
            read = source.read();
        } catch (IOException unreadable) {
            String defect = String.valueOf(unreadable.getMessage());
            if (!defect.equals(reportedDefect)) {
                reportedDefect = defect;
                log.event("settings unreadable").field("reason", defect).write();
            }
            return;
        }
        reportedDefect = null;
        if (!read.equals(known)) {
            known = read;
            onChange.accept(read);
        }
    }
}
