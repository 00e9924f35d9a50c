package org.kingcuproad.gateway;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.kingcuproad.policy.quarantine.QuarantinedPrompt;

/** Store of quarantined prompts that accepts all. */
final class FakeQuarantines extends FakeDialect<QuarantinedPrompt> implements QuarantineDialect {

    /** Body of a listing that can't be decoded. */
    static final String MALFORMED = "malformed";

    /** Creates a store without quarantined prompts. */
    FakeQuarantines() {
        super(List.of());
    }

    /** Creates a store with one quarantined prompt. */
    FakeQuarantines(QuarantinedPrompt stored) {
        super(List.of(new StoreObject<>(stored.objectName(), Optional.of(stored), "")));
    }

    @Override
    public StorePage<QuarantinedPrompt> readPage(byte[] body) throws IOException {
        if (new String(body, StandardCharsets.UTF_8).equals(MALFORMED)) {
            throw new IOException("not a listing");
        }
        return super.readPage(body);
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
