package org.kingcuproad.entry.request;

import io.opentelemetry.api.trace.Span;
import org.jspecify.annotations.Nullable;
import org.kingcuproad.entry.link.AgentLink;
import org.kingcuproad.entry.link.ExecuteStream;
import org.kingcuproad.policy.stream.HeartbeatMonitor;
import org.kingcuproad.policy.stream.ResponseAssembler;

/** State of one attempt to execute a request on one incarnation of an agent. */
final class Attempt {

    final int number;
    final AgentLink link;
    final long incarnation;
    final long startedNs;
    final Span span;
    final ResponseAssembler assembler;

    /** Number of the current stream of the attempt, which distinguishes its events from those of earlier streams. */
    int streamNumber;

    HeartbeatMonitor heartbeat;

    boolean firstByteReceived;

    @Nullable
    ExecuteStream stream;

    /** Time at which the connection was lost, or 0 while it is up. */
    long lostSinceNs;

    /** Time of the next resume, or 0 if none is scheduled. */
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

    /** Closes the current stream and ignores its further events. */
    void closeStream() {
        streamNumber++;
        if (stream != null) {
            stream.close();
            stream = null;
        }
    }
}
