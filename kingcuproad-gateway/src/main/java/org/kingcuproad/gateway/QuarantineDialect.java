package org.kingcuproad.gateway;

import org.kingcuproad.policy.quarantine.QuarantinedPrompt;

/** Requests and formats by which quarantined prompts are kept in the store. */
public interface QuarantineDialect extends StoreDialect<QuarantinedPrompt> {

    /**
     * Returns the request target that creates an object.
     *
     * @return a request target
     */
    String createTarget();

    /**
     * Returns the request target that deletes an object.
     *
     * @param name name of the object
     * @return a request target
     */
    String deleteTarget(String name);

    /**
     * Encodes a quarantined prompt as an object.
     *
     * @param prompt the quarantined prompt
     * @return request body
     */
    byte[] encode(QuarantinedPrompt prompt);
}
