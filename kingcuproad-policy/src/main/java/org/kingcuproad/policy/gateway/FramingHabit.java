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

    /** What is known of a service. */
    public enum Kind {

        /** Too few responses are known. */
        UNKNOWN,

        /** It has stated the end of a response, so one that states none is a sign of trouble. */
        STATES_ENDS,

        /** It ends all responses with their connection, so an orderly end is all that can be known. */
        ENDS_WITH_CONNECTION
    }

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
     * Returns what is known of the service.
     *
     * @return its habit
     */
    public Kind kind() {
        if (framed) {
            return Kind.STATES_ENDS;
        }
        return unframed >= MIN_RESPONSES ? Kind.ENDS_WITH_CONNECTION : Kind.UNKNOWN;
    }
}
