package org.kingcuproad.policy.gateway;

/**
 * Whether the end of a connection of one upstream is the end of a stream that can't be resumed.
 *
 * <p>This answers the load of a service of which only some upstreams state where their responses end. An upstream is
 * believed if all its successful responses have announced that their connection ends with them, several such streams
 * have ended in an orderly way, and no response was seen to be cut off. {@link FramingHabit} is the same for a service
 * as a whole, whose upstreams need not announce anything.
 */
public final class AnnouncedEnds {

    /** Number of orderly ends after which an upstream is believed. */
    static final int MIN_ENDS = 3;

    private int orderlyEnds;
    private boolean unreliable;

    /** Creates an instance for an upstream that is not known yet. */
    public AnnouncedEnds() {}

    /**
     * Records the head of a successful response.
     *
     * @param framing how it says where its body ends
     * @param closeAnnounced whether it announces that its connection ends with it
     */
    public void onHead(ResponseFraming framing, boolean closeAnnounced) {
        boolean announced = framing == ResponseFraming.CONNECTION && closeAnnounced;
        unreliable |= !announced && framing != ResponseFraming.NO_BODY;
    }

    /** Records an orderly end of a stream without framing that can't be resumed. */
    public void onOrderlyEnd() {
        orderlyEnds = Math.min(orderlyEnds + 1, MIN_ENDS);
    }

    /** Records that a successful response without framing was seen to be cut off. */
    public void onCutOff() {
        unreliable = true;
    }

    /**
     * Returns whether an orderly end of a connection is that of its stream, unless the upstream has crashed.
     *
     * @return {@code false} also while too little is known
     */
    public boolean believed() {
        return !unreliable && orderlyEnds >= MIN_ENDS;
    }
}
