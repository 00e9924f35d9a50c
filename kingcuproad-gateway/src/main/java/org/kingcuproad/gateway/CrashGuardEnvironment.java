package org.kingcuproad.gateway;

import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.kingcuproad.policy.quarantine.PromptQuarantine;
import org.kingcuproad.policy.quarantine.QuarantinedPrompt;
import org.kingcuproad.policy.quarantine.UpstreamCrash;

/** Connects the crash guard of a service to the gateway's peers, store client and log. */
final class CrashGuardEnvironment implements PromptCrashGuard.Environment {

    private final Gateway gateway;

    CrashGuardEnvironment(Gateway gateway) {
        this.gateway = gateway;
    }

    @Override
    public boolean hasPeers() {
        return gateway.peerLoads().count() > 0;
    }

    @Override
    public void broadcast(String service, PromptQuarantine quarantine, List<UpstreamCrash> ownCrashes) {
        long nowMs = gateway.clock().steadyMs();
        gateway.sendToPeers(new CrashReport(
                gateway.settings().name(),
                service,
                quarantine.answers(),
                quarantine.quarantined().entrySet().stream()
                        .collect(Collectors.toMap(Map.Entry::getKey, entry -> nowMs - entry.getValue())),
                ownCrashes.stream().collect(Collectors.toMap(UpstreamCrash::upstream, UpstreamCrash::prompts)),
                quarantine.provenAmong(quarantine.crashesSince(nowMs - PromptQuarantine.MEMORY_MS))));
    }

    @Override
    public void save(QuarantinedPrompt prompt) {
        gateway.quarantineStore().save(prompt);
    }

    @Override
    public void delete(QuarantinedPrompt prompt) {
        gateway.quarantineStore().delete(prompt);
    }

    @Override
    public void onQuarantined(QuarantinedPrompt prompt, long crashes) {
        gateway.metrics().count("prompts_quarantined");
        gateway.log()
                .event("prompt quarantined")
                .field("service", prompt.service())
                .field("parts", String.join(",", prompt.parts()))
                .field("crashes", crashes)
                .write();
    }
}
