package org.kingcuproad.gateway;

import java.util.List;
import org.kingcuproad.policy.quarantine.QuarantinedPrompt;

/** Store without quarantined prompts that accepts all. */
final class FakeQuarantines extends FakeDialect<QuarantinedPrompt> implements QuarantineDialect {

    FakeQuarantines() {
        super(List.of());
    }

    @Override
    public String createTarget() {
        return "/list";
    }

    @Override
    public String deleteTarget(String name) {
        return "/list";
    }

    @Override
    public byte[] encode(QuarantinedPrompt prompt) {
        return new byte[0];
    }
}
