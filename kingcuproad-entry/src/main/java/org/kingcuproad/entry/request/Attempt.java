package org.kingcuproad.entry.request;

import io.opentelemetry.api.trace.Span;
import org.jspecify.annotations.Nullable;
import org.kingcuproad.entry.link.AgentLink;
import org.kingcuproad.entry.link.ExecuteStream;
import org.kingcuproad.policy.stream.HeartbeatMonitor;
import org.kingcuproad.policy.stream.ResponseAssembler;

/** State of one attempt of a request at one incarnation of one agent. */
final class Attempt {

    final int number;
    final AgentLink link;
    final long incarnation;
    final long startedNs;
    final Span span;
    final ResponseAssembler assembler;

    /** Counts the streams of the attempt, so that events of an earlier stream are told apart. */
    int streamSerial;

    HeartbeatMonitor heartbeat;

    boolean firstByteSeen;

    @Nullable
    ExecuteStream stream;

    /** When the connection was lost, or 0 while it works. */
    long lostSinceNs;

    /** When to try to resume, or 0 if no resumption is due. */
    long resumeAtNs;

    Attempt(int number, AgentLink link, long incarnation, long startedNs, Span span) {
        this.number = number;
        this.link = link;
        this.incarnation = incarnation;
        this.startedNs = startedNs;
        this.span = span;
        this.assembler = new ResponseAssembler(number);
        this.heartbeat = new HeartbeatMonitor(startedNs / RequestTask.NANOS_PER_MILLI);
    }

    String upstream() {
        return link.upstream();
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
