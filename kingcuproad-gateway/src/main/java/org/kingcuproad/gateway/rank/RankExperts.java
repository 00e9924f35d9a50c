package org.kingcuproad.gateway.rank;

/**
 * Experts that a rank holds, as reported by its engine.
 *
 * @param epoch formation number of the group at the time of the report
 * @param mapVersion version of the map in use
 * @param bySet experts by set, each set in ascending order
 */
@SuppressWarnings("ArrayRecordComponent")
record RankExperts(long epoch, long mapVersion, int[][] bySet) {

    boolean matches(long otherEpoch, long otherMapVersion) {
        return epoch == otherEpoch && mapVersion == otherMapVersion;
    }
}
