package org.kingcuproad.policy.revision;

/** What a process that needs the document carries out. */
public sealed interface SubscriberEffect {

    /**
     * Subscribe to a relay, with the revision in force.
     *
     * @param relay name of the entry
     */
    record Subscribe(String relay) implements SubscriberEffect {}

    /**
     * End the subscription to a relay.
     *
     * @param relay name of the entry
     */
    record Unsubscribe(String relay) implements SubscriberEffect {}

    /** Read the document from the store. */
    record ReadStore() implements SubscriberEffect {}

    /**
     * Ask a peer entry of the settings for its document; used while the process has none.
     *
     * @param peer address in the settings
     */
    record AskPeer(String peer) implements SubscriberEffect {}
}
