package org.kingcuproad.runtime.log;

import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;
import org.tinylog.ThreadContext;

/** Logs a message with named fields. */
public final class StructuredLog {

    private StructuredLog() {}

    /**
     * Logs at level info.
     *
     * @param message what happened, the same text for each event of its kind
     * @param fields what it happened to, by name
     */
    public static void info(String message, Map<String, ?> fields) {
        log(() -> Logger.info(message), fields);
    }

    /**
     * Logs at level warning.
     *
     * @param message what happened, the same text for each event of its kind
     * @param fields what it happened to, by name
     */
    public static void warn(String message, Map<String, ?> fields) {
        log(() -> Logger.warn(message), fields);
    }

    /**
     * Logs a failure at level warning.
     *
     * @param failure the failure
     * @param message what happened, the same text for each event of its kind
     * @param fields what it happened to, by name
     */
    public static void warn(@Nullable Throwable failure, String message, Map<String, ?> fields) {
        log(() -> Logger.warn(failure, message), fields);
    }

    private static void log(Runnable write, Map<String, ?> fields) {
        fields.forEach(ThreadContext::put);
        try {
            write.run();
        } finally {
            fields.keySet().forEach(ThreadContext::remove);
        }
    }
}
