package org.kingcuproad.gateway;

import io.netty.channel.ConnectTimeoutException;
import java.net.ConnectException;
import org.jspecify.annotations.Nullable;

/** Result of opening a connection to an upstream that closed one. */
enum ProbeResult {

    /** The upstream accepts connections, so it closed only the earlier one. */
    LISTENING,

    /** The VM answers, but no process listens at the address. */
    REFUSED,

    /** There was no answer; the VM or the network may have failed, or the upstream may be slow. */
    UNKNOWN;

    private static final String REFUSED_MESSAGE = "Connection refused";

    /**
     * Interprets the outcome of a connect call.
     *
     * @param failure why the connection could not be opened, or null if it was opened
     */
    static ProbeResult of(@Nullable Throwable failure) {
        if (failure == null) {
            return LISTENING;
        }
        boolean refused = failure instanceof ConnectException
                && !(failure instanceof ConnectTimeoutException)
                && String.valueOf(failure.getMessage()).startsWith(REFUSED_MESSAGE);
        return refused ? REFUSED : UNKNOWN;
    }
}
