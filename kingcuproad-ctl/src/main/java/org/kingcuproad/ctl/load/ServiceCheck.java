package org.kingcuproad.ctl.load;

/** Checks that the response of a plain service has a body of the declared length. */
final class ServiceCheck implements BodyCheck {

    /** Stands for a response without a Content-Length header. */
    static final long NOT_DECLARED = -1;

    private final long declaredLength;
    private long length;

    ServiceCheck(long declaredLength) {
        this.declaredLength = declaredLength;
    }

    @Override
    public int accept(byte[] data) {
        length += data.length;
        return 0;
    }

    @Override
    public Completeness end() {
        boolean whole = declaredLength == NOT_DECLARED ? length > 0 : length == declaredLength;
        return whole ? Completeness.COMPLETE : Completeness.TRUNCATED_BODY;
    }
}
