package org.kingcuproad.gateway;

import org.jspecify.annotations.Nullable;
import org.kingcuproad.policy.gateway.StreamEvent;

/** What has been passed on to the client of the response to its request, by one attempt or several. */
final class ForwardedResponse {

    private static final long NO_END = Long.MIN_VALUE;

    private boolean headSent;
    private String seal = "";
    private long lastEventId = StreamEvent.NO_ID;
    private boolean eventWithoutId;
    private long events;
    private long bytes;
    private String completion = "";
    private long unconfirmedEndId = NO_END;
    private @Nullable UnstatedEnd unstatedEnd;

    /**
     * Records that the head has been passed on.
     *
     * @param responseSeal seal of the upstream's response, empty if it has none
     */
    void onHead(String responseSeal) {
        headSent = true;
        seal = responseSeal;
    }

    void onEvent(StreamEvent event) {
        events++;
        unstatedEnd = null;
        bytes += event.bytes().length;
        if (event.id() != StreamEvent.NO_ID) {
            lastEventId = event.id();
        } else if (!event.comment()) {
            eventWithoutId = true;
        }
    }

    void onBytes(long count) {
        bytes += count;
    }

    /**
     * Records why the response was taken for complete.
     *
     * @param evidence description for the log
     */
    void onComplete(String evidence) {
        completion = evidence;
    }

    /** Records that an upstream ended its response in an orderly way, without saying whether that was its end. */
    void onUnconfirmedEnd() {
        unconfirmedEndId = lastEventId;
    }

    /** Records that an upstream ended the stream after the last event in a way that nothing speaks against. */
    void onUnstatedEnd(UnstatedEnd end) {
        unstatedEnd = end;
    }

    /** Records that more of the stream has begun to arrive. */
    void withdrawUnstatedEnd() {
        unstatedEnd = null;
    }

    /** Returns the end that may be that of the stream, or null if there was none after the last event. */
    @Nullable
    UnstatedEnd unstatedEnd() {
        return unstatedEnd;
    }

    /** Returns whether an upstream has ended the stream in an orderly way after the last event that was passed on. */
    boolean endedAfterLastEvent() {
        return lastEventId != StreamEvent.NO_ID && unconfirmedEndId == lastEventId;
    }

    boolean headSent() {
        return headSent;
    }

    /** Returns the seal of the upstream whose head was passed on, empty if there was none. */
    String seal() {
        return seal;
    }

    /** Returns the id of the last event, or {@link StreamEvent#NO_ID}. */
    long lastEventId() {
        return lastEventId;
    }

    /**
     * Returns whether another upstream can continue the stream. It would repeat events without an id, which can't be
     * told from new ones.
     */
    boolean resumable() {
        return !eventWithoutId;
    }

    long events() {
        return events;
    }

    /** Returns why the response was taken for complete, empty if it was not. */
    String completion() {
        return completion;
    }

    /** Returns the size of what was passed on of the body, in bytes. */
    long bytes() {
        return bytes;
    }
}
