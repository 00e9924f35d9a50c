package org.kingcuproad.policy.gateway;

/**
 * How the upstreams of a service say where their successful responses end.
 *
 * <p>This answers the load of services that never state it. Where upstreams do, a response that doesn't is a sign of
 * trouble, and the end of its connection says nothing about whether it is whole.
 */
public final class FramingHabit {

    /** Number of responses after which a service that has stated no end is taken for one that never does. */
    static final int MIN_RESPONSES = 20;

    private boolean framed;
    private int unframed;

    /** Creates a habit of a service that is not known yet. */
    public FramingHabit() {}

    /**
     * Records how a successful response with a body says where it ends.
     *
     * @param framing its framing
     */
    public void onResponse(ResponseFraming framing) {
        switch (framing) {
            case LENGTH, CHUNKS -> framed = true;
            case CONNECTION -> unframed = Math.min(unframed + 1, MIN_RESPONSES);
            case NO_BODY -> {}
        }
    }

    /**
     * Returns whether the service ends all responses with their connection.
     *
     * @return {@code true} if an orderly end is all that can be known
     */
    public boolean endsWithConnection() {
        return !framed && unframed >= MIN_RESPONSES;
    }
}
