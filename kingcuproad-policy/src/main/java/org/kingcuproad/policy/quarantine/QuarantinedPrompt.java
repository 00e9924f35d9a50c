package org.kingcuproad.policy.quarantine;

import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.UUID;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * A combination of prompt parts that a service no longer gets.
 *
 * @param service name of the service
 * @param parts ids of the parts; a request is affected if its prompt has all of them
 */
public record QuarantinedPrompt(String service, Set<String> parts) {

    /**
     * Creates a combination with a copy of the parts.
     *
     * @param service name of the service
     * @param parts ids of the parts
     */
    public QuarantinedPrompt {
        parts = Set.copyOf(parts);
    }

    /**
     * Returns the name under which the combination is stored, the same for all gateways.
     *
     * @return a name of fixed length
     */
    public String objectName() {
        String text = Stream.concat(Stream.of(service), parts.stream().sorted()).collect(Collectors.joining("\n"));
        return UUID.nameUUIDFromBytes(text.getBytes(StandardCharsets.UTF_8)).toString();
    }
}
