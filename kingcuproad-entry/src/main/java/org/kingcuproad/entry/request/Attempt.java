package org.kingcuproad.entry.request;

import io.opentelemetry.api.trace.Span;
import org.jspecify.annotations.Nullable;
import org.kingcuproad.entry.link.AgentLink;
import org.kingcuproad.entry.link.ExecuteStream;

/** State of one attempt of a request at one incarnation of one agent. */
final class Attempt {

    final int number;
    final String upstream;
    final AgentLink link;
    final long incarnation;
    final long startedNs;
    final Span span;

    /** Counts the streams of the attempt, so that events of an earlier stream are told apart. */
    int streamSerial;

    @Nullable
    ExecuteStream stream;

    boolean accepted;
    long nextOffset;
    long lastHeardNs;
    long lastSentNs;
    /** When the connection was lost, or 0 while it works. */
    long lostSinceNs;
    /** When to try to resume, or 0 if no resumption is due. */
    long resumeAtNs;

    Attempt(int number, String upstream, AgentLink link, long incarnation, long startedNs, Span span) {
        this.number = number;
        this.upstream = upstream;
        this.link = link;
        this.incarnation = incarnation;
        this.startedNs = startedNs;
        this.span = span;
        this.lastHeardNs = startedNs;
        this.lastSentNs = startedNs;
    }

    /** Stops listening to the current stream. */
    void dropStream() {
        streamSerial++;
        if (stream != null) {
            stream.close();
            stream = null;
        }
    }
}
