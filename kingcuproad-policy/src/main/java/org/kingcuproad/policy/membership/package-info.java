/** Deterministic selection of members by hashing: subsets of upstreams, relays and owners of claim shards. */
@NullMarked
package org.kingcuproad.policy.membership;

import org.jspecify.annotations.NullMarked;
