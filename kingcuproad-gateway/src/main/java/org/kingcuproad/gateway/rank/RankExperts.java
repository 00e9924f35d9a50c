package org.kingcuproad.gateway.rank;

/**
 * Experts that a rank holds, as its engine told them.
 *
 * @param epoch formation of the group at which they were read
 * @param mapVersion version of the map in use
 * @param bySet experts by set, in ascending order
 */
@SuppressWarnings("ArrayRecordComponent")
record RankExperts(long epoch, long mapVersion, int[][] bySet) {

    boolean matches(long otherEpoch, long otherMapVersion) {
        return epoch == otherEpoch && mapVersion == otherMapVersion;
    }
}
