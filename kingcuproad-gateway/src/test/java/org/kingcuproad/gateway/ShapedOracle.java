package org.kingcuproad.gateway;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.kingcuproad.policy.gateway.RouteKind;

/**
 * Judges what a client got by what the upstreams wrote: a whole answer of one run, a visibly broken one, or a refusal
 * of a request that never ran.
 */
final class ShapedOracle {

    /** Statuses that promise that the request has not run. */
    private static final Set<Integer> REFUSALS = Set.of(408, 421, 429, 503);

    /** Statuses of the gateway that promise nothing. */
    private static final Set<Integer> FAILURES = Set.of(502, 504);

    private ShapedOracle() {}

    /**
     * Judges an answer after all runs have ended.
     *
     * @return what is wrong with it
     */
    static Optional<String> judge(ShapedRequest request, ShapedAnswer answer, List<ShapedRun> runs) {
        return fault(request, answer, runs).map(fault -> fault + "\n  " + request + "\n  " + answer + "\n  " + runs);
    }

    private static Optional<String> fault(ShapedRequest request, ShapedAnswer answer, List<ShapedRun> runs) {
        long ran = runs.stream().filter(ShapedRun::ran).count();
        if (request.kind() == RouteKind.NON_IDEMPOTENT && ran > 1) {
            return Optional.of("an order ran " + ran + " times");
        }
        String answerId = FakeUpstream.header(answer.head(), "X-Request");
        if (!answerId.isEmpty() && !answerId.equals(request.id())) {
            return Optional.of("an answer to " + answerId);
        }
        if (answer.end() == ShapedAnswer.End.SILENT) {
            return Optional.of("no end of the answer");
        }
        if (answer.end() == ShapedAnswer.End.NONE || answer.end() == ShapedAnswer.End.LEFT) {
            return Optional.empty();
        }
        if (answer.seal().isEmpty()) {
            return faultOfUnsealed(answer, ran);
        }
        Optional<ShapedRun> sealed = runs.stream()
                .filter(run -> run.response().seal().equals(answer.seal()))
                .findFirst();
        if (sealed.isEmpty()) {
            return Optional.of("the seal is of no run");
        }
        if (sealed.get().improper()) {
            return Optional.of("the seal of a run that answered nothing that the protocol has");
        }
        if (sealed.get().status() != answer.status()) {
            return Optional.of("another status than that of the run");
        }
        return faultOfSealed(request, answer, sealed.get(), runs);
    }

    private static Optional<String> faultOfUnsealed(ShapedAnswer answer, long ran) {
        if (REFUSALS.contains(answer.status())) {
            return ran > 0 ? Optional.of("a refusal of a request that ran") : Optional.empty();
        }
        return FAILURES.contains(answer.status())
                ? Optional.empty()
                : Optional.of("an answer without a seal that is no refusal");
    }

    private static Optional<String> faultOfSealed(
            ShapedRequest request, ShapedAnswer answer, ShapedRun run, List<ShapedRun> runs) {
        boolean stream = run.successful() && run.response().isStream();
        if (stream && runs.size() > 1) {
            return ShapedStreamOracle.fault(request, answer, run, runs);
        }
        if (run.response().flood() != ShapedFlood.NONE) {
            return whole(answer) ? Optional.of("a whole answer of a flood") : Optional.empty();
        }
        return faultOfOneRun(request, answer, run);
    }

    private static boolean whole(ShapedAnswer answer) {
        return answer.end() == ShapedAnswer.End.WHOLE;
    }

    private static Optional<String> faultOfOneRun(ShapedRequest request, ShapedAnswer answer, ShapedRun run) {
        byte[] written = run.writtenBody();
        byte[] received = answer.body();
        if (received.length > written.length || !Arrays.equals(received, Arrays.copyOf(written, received.length))) {
            return Optional.of("other bytes than those of the run");
        }
        if (whole(answer) && run.end() != ShapedRun.End.WHOLE) {
            return Optional.of("a whole answer of a run that was cut off");
        }
        boolean bodyless = request.method().equals("HEAD");
        return whole(answer) && !bodyless && received.length < written.length
                ? Optional.of("a whole answer without the end of the run")
                : Optional.empty();
    }
}
