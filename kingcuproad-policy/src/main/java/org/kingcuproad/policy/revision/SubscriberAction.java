package org.kingcuproad.policy.revision;

/** Action that {@link Subscriber} requests from its process. */
public sealed interface SubscriberAction {

    /**
     * Subscribe to a relay, passing the revision in force.
     *
     * @param relay name of the entry that acts as relay
     */
    record Subscribe(String relay) implements SubscriberAction {}

    /**
     * End the subscription to a relay.
     *
     * @param relay name of the entry that acts as relay
     */
    record Unsubscribe(String relay) implements SubscriberAction {}

    /** Read the document from the store. */
    record ReadStore() implements SubscriberAction {}

    /**
     * Request the document from a peer entry in the settings; used while the process has none.
     *
     * @param peer address of the peer from the settings
     */
    record RequestFromPeer(String peer) implements SubscriberAction {}
}
