package org.kingcuproad.policy.gateway;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * What is known of ends of streams that nothing states but the end of their connection.
 *
 * <p>This answers the load of a service whose upstreams state the ends of some responses and not of others, so that
 * neither its habit nor the answer to a single question says whether an end was that of its stream. Upstreams that are
 * asked for the rest of a stream confirm or refute its end. An upstream that cuts responses off does so inside an event
 * or by a reset most of the time, so ends are believed only while no response without framing is seen to be cut off.
 * All gateways judge by what they have seen together.
 */
public final class EndConfirmations {

    /** Number of orderly ends since the last one that was none, from which on ends are believed. */
    static final int MIN_ENDS = 20;

    /** Evidence of answers from which ends are believed: more than the questions about one stream can give. */
    static final int MIN_EVIDENCE = 8;

    /** Evidence of an answer that states that nothing follows. */
    static final int STATED_EVIDENCE = 4;

    /** Evidence of an answer that may itself have been cut off before its first event. */
    static final int UNSTATED_EVIDENCE = 1;

    /** Time after a response without framing was seen to be cut off for which no end is believed, in milliseconds. */
    static final long TROUBLE_MS = 10_000;

    /** Time after an end was refuted for which none is believed, in milliseconds. */
    static final long DISTRUST_MS = 60_000;

    /** Time after the last end for which what was seen counts, in milliseconds. */
    static final long MEMORY_MS = 60_000;

    /** Time for which a report of another gateway counts; several report intervals long, in milliseconds. */
    static final long REPORT_VALIDITY_MS = 1_500;

    private static final long NEVER = Long.MIN_VALUE;

    private final Map<String, Received> reports = new HashMap<>();
    private int ends;
    private int evidence;
    private long lastEndMs = NEVER;
    private long troubledUntilMs = NEVER;
    private long refutedUntilMs = NEVER;

    /**
     * What one gateway has seen itself.
     *
     * @param ends orderly ends since the last one that was none
     * @param evidence evidence of answers to questions since then
     * @param distrusted whether an end was refuted or seen to be none not long ago
     */
    public record Report(int ends, int evidence, boolean distrusted) {}

    private record Received(Report report, long receivedMs) {}

    /** Creates an instance for a service of which nothing is known yet. */
    public EndConfirmations() {}

    /**
     * Records an end between two events of an upstream that goes on listening.
     *
     * @param nowMs current time, in milliseconds
     */
    public void onOrderlyEnd(long nowMs) {
        forgetOldEnds(nowMs);
        ends = Math.min(ends + 1, MIN_ENDS);
        lastEndMs = nowMs;
    }

    /** Records an answer that states its own end and has no further event. */
    public void onStated() {
        evidence = Math.min(evidence + STATED_EVIDENCE, MIN_EVIDENCE);
    }

    /** Records an answer without a further event that ended with its connection. */
    public void onUnstated() {
        evidence = Math.min(evidence + UNSTATED_EVIDENCE, MIN_EVIDENCE);
    }

    /**
     * Records a response without framing that was seen to be cut off.
     *
     * @param nowMs current time, in milliseconds
     */
    public void onCutOff(long nowMs) {
        forget();
        troubledUntilMs = nowMs + TROUBLE_MS;
    }

    /**
     * Records an answer that had more of the stream.
     *
     * @param nowMs current time, in milliseconds
     */
    public void onRefuted(long nowMs) {
        forget();
        refutedUntilMs = nowMs + DISTRUST_MS;
    }

    private void forgetOldEnds(long nowMs) {
        if (lastEndMs != NEVER && nowMs - lastEndMs >= MEMORY_MS) {
            forget();
        }
    }

    private void forget() {
        ends = 0;
        evidence = 0;
    }

    /**
     * Returns whether this gateway has seen an end refuted not long ago.
     *
     * @param nowMs current time, in milliseconds
     * @return {@code true} if no end is to be believed by the habit of the service either
     */
    public boolean refuted(long nowMs) {
        return nowMs < refutedUntilMs;
    }

    /**
     * Records what another gateway has seen.
     *
     * @param sender name of the gateway
     * @param report its report
     * @param nowMs current time, in milliseconds
     */
    public void onReported(String sender, Report report, long nowMs) {
        reports.put(sender, new Received(report, nowMs));
    }

    /**
     * Returns what this gateway has seen itself, without the reports of others.
     *
     * @param nowMs current time, in milliseconds
     * @return its report, or empty if it has seen nothing
     */
    public Optional<Report> report(long nowMs) {
        forgetOldEnds(nowMs);
        Report own = new Report(ends, evidence, nowMs < troubledUntilMs || refuted(nowMs));
        return own.ends > 0 || own.evidence > 0 || own.distrusted ? Optional.of(own) : Optional.empty();
    }

    /**
     * Returns whether an end that nothing speaks against is believed if nobody can be asked.
     *
     * @param nowMs current time, in milliseconds
     * @return {@code false} also while too little is known
     */
    public boolean believed(long nowMs) {
        reports.values().removeIf(received -> nowMs - received.receivedMs >= REPORT_VALIDITY_MS);
        Report all = Stream.concat(
                        report(nowMs).stream(), reports.values().stream().map(Received::report))
                .reduce(
                        new Report(0, 0, false),
                        (left, right) -> new Report(
                                left.ends + right.ends,
                                left.evidence + right.evidence,
                                left.distrusted || right.distrusted));
        return all.ends >= MIN_ENDS && all.evidence >= MIN_EVIDENCE && !all.distrusted;
    }
}
