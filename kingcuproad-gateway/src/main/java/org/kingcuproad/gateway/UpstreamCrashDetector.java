package org.kingcuproad.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * Detects whether an upstream has crashed when it closes connections with requests in progress.
 *
 * <p>The ranks of a group also close connections when another rank fails, so the closed connection alone proves
 * nothing. A rank that is only stalled still accepts connections, while those to a crashed process are refused.
 */
final class UpstreamCrashDetector {

    private final BiConsumer<Upstream, Consumer<ProbeResult>> probe;
    private final BiConsumer<Upstream, List<List<String>>> onCrash;
    private final Map<Upstream, List<List<String>>> suspected = new HashMap<>();

    /**
     * Creates a detector.
     *
     * @param probe opens a connection to an upstream and reports the result
     * @param onCrash receives a crashed upstream and the prompt parts of the requests lost there; it is called again
     *     for requests whose loss is noticed later
     */
    UpstreamCrashDetector(
            BiConsumer<Upstream, Consumer<ProbeResult>> probe, BiConsumer<Upstream, List<List<String>>> onCrash) {
        this.probe = probe;
        this.onCrash = onCrash;
    }

    /** Records that the connection of a request in progress ended without an action of this gateway. */
    void onDisconnected(Upstream upstream, List<String> promptParts) {
        if (promptParts.isEmpty()) {
            return;
        }
        if (upstream.crashed()) {
            onCrash.accept(upstream, List.of(promptParts));
            return;
        }
        List<List<String>> pending = suspected.get(upstream);
        if (pending != null) {
            pending.add(promptParts);
            return;
        }
        suspected.put(upstream, new ArrayList<>(List.of(promptParts)));
        probe.accept(upstream, result -> onProbed(upstream, result));
    }

    private void onProbed(Upstream upstream, ProbeResult result) {
        List<List<String>> prompts = suspected.remove(upstream);
        if (result == ProbeResult.REFUSED && prompts != null) {
            upstream.setCrashed();
            onCrash.accept(upstream, List.copyOf(prompts));
        }
    }
}
