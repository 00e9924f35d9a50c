package org.kingcuproad.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.stream.Stream;

/**
 * Detects whether an upstream has crashed when it closes connections with requests in progress.
 *
 * <p>The ranks of a group also close connections when another rank fails, so the closed connection alone proves
 * nothing. A rank that is only stalled still accepts connections, while those to a crashed process are refused. In the
 * same way a response that ends with its connection is told from one that was cut off by a crash.
 */
final class UpstreamCrashDetector {

    /**
     * Delay of a probe for a response that ended with its connection. A process that ends closes its sockets one after
     * the other, and the listening one may still be open when the end of a connection arrives.
     */
    private static final long END_PROBE_DELAY_MS = 10;

    /** Delay of each later probe for requests that were cut off while the upstream still accepted connections. */
    private static final long LATER_PROBE_DELAY_MS = 10;

    /** Bounds the time for which a crash is looked for, so that a later one is not attributed to these requests. */
    private static final int LATER_PROBES = 5;

    private final Prober prober;
    private final Listener listener;
    private final Map<Upstream, Probe> probes = new HashMap<>();
    private final Map<Upstream, List<Unexplained>> unexplained = new HashMap<>();

    /** Opens a connection to an upstream after a delay, and reports whether it listens. */
    interface Prober {

        void probe(Upstream upstream, long delayMs, Consumer<ProbeResult> onResult);
    }

    /** Receives what the detector finds out. */
    interface Listener {

        /**
         * Receives requests that were lost with a crash. It is called again for requests whose loss is noticed later.
         *
         * @param upstream the upstream that crashed
         * @param prompts prompt parts of the requests
         */
        void onCrash(Upstream upstream, List<List<String>> prompts);
    }

    /** A response that ended with its connection, and who wants to know whether it is complete. */
    private record Ended(List<String> promptParts, Consumer<ProbeResult> onProbed) {}

    /** Requests at an upstream that may have crashed: those that were cut off and those that may be complete. */
    private record Suspicion(List<List<String>> lost, List<Ended> ended) {

        private Suspicion() {
            this(new ArrayList<>(), new ArrayList<>());
        }

        private boolean isEmpty() {
            return lost.isEmpty() && ended.isEmpty();
        }
    }

    /**
     * A probe in progress. The upstream may accept it and crash thereafter, so it proves nothing for what ended
     * meanwhile.
     */
    private record Probe(Suspicion before, Suspicion meanwhile) {}

    /** A request that was cut off, and the number of later probes that the upstream may still get for it. */
    private record Unexplained(List<String> promptParts, int probesLeft) {}

    UpstreamCrashDetector(Prober prober, Listener listener) {
        this.prober = prober;
        this.listener = listener;
    }

    /** Records that the connection of a request in progress ended without an action of this gateway. */
    void onDisconnected(Upstream upstream, List<String> promptParts) {
        if (!promptParts.isEmpty() && upstream.crashed()) {
            listener.onCrash(upstream, List.of(promptParts));
        } else if (!promptParts.isEmpty()) {
            suspect(upstream, 0).lost.add(promptParts);
        }
    }

    /**
     * Finds out whether a response is complete whose end is that of its connection.
     *
     * @param onProbed receives whether the upstream still listens
     */
    void onEndedWithConnection(Upstream upstream, List<String> promptParts, Consumer<ProbeResult> onProbed) {
        suspect(upstream, END_PROBE_DELAY_MS).ended.add(new Ended(promptParts, onProbed));
    }

    private Suspicion suspect(Upstream upstream, long delayMs) {
        Probe known = probes.get(upstream);
        if (known != null) {
            return known.meanwhile;
        }
        Suspicion created = new Suspicion();
        probe(upstream, created, delayMs);
        return created;
    }

    private void probe(Upstream upstream, Suspicion suspicion, long delayMs) {
        probes.put(upstream, new Probe(suspicion, new Suspicion()));
        prober.probe(upstream, delayMs, result -> onProbed(upstream, result));
    }

    private void onProbed(Upstream upstream, ProbeResult result) {
        Probe probed = probes.remove(upstream);
        if (probed == null) {
            return;
        }
        if (result == ProbeResult.LISTENING) {
            upstream.setListening();
            probeLater(upstream, probed.before.lost);
        }
        if (result == ProbeResult.REFUSED) {
            upstream.setCrashed();
            List<List<String>> prompts = Stream.of(probed.before, probed.meanwhile)
                    .flatMap(suspicion -> Stream.concat(
                            suspicion.lost.stream(), suspicion.ended.stream().map(Ended::promptParts)))
                    .filter(promptParts -> !promptParts.isEmpty())
                    .toList();
            if (!prompts.isEmpty()) {
                listener.onCrash(upstream, prompts);
            }
            probed.meanwhile.ended.forEach(ended -> ended.onProbed.accept(result));
        } else if (!probed.meanwhile.isEmpty()) {
            probe(upstream, probed.meanwhile, probed.meanwhile.ended.isEmpty() ? 0 : END_PROBE_DELAY_MS);
        }
        probed.before.ended.forEach(ended -> ended.onProbed.accept(result));
    }

    /**
     * Looks for a crash again. A process that ends may close its listening socket after the connections, so one that is
     * still open right after a request was cut off proves nothing.
     */
    private void probeLater(Upstream upstream, List<List<String>> lost) {
        if (lost.isEmpty()) {
            return;
        }
        List<Unexplained> known = unexplained.get(upstream);
        List<Unexplained> added = lost.stream()
                .map(promptParts -> new Unexplained(promptParts, LATER_PROBES))
                .toList();
        if (known != null) {
            known.addAll(added);
        } else {
            probeLaterFor(upstream, added);
        }
    }

    private void probeLaterFor(Upstream upstream, List<Unexplained> requests) {
        unexplained.put(upstream, new ArrayList<>(requests));
        prober.probe(upstream, LATER_PROBE_DELAY_MS, result -> onProbedLater(upstream, result));
    }

    private void onProbedLater(Upstream upstream, ProbeResult result) {
        List<Unexplained> requests = unexplained.remove(upstream);
        if (requests == null || !upstream.inService()) {
            return;
        }
        // Another probe may have found the crash, and the process may have started again since.
        if (result == ProbeResult.REFUSED || upstream.crashed()) {
            upstream.setCrashed();
            listener.onCrash(
                    upstream, requests.stream().map(Unexplained::promptParts).toList());
        } else if (result == ProbeResult.LISTENING) {
            List<Unexplained> remaining = requests.stream()
                    .filter(request -> request.probesLeft > 1)
                    .map(request -> new Unexplained(request.promptParts, request.probesLeft - 1))
                    .toList();
            if (!remaining.isEmpty()) {
                probeLaterFor(upstream, remaining);
            }
        }
    }
}
