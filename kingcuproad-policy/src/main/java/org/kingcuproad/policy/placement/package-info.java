/** Placement of expert replicas on the ranks of a lock-step group. */
@NullMarked
package org.kingcuproad.policy.placement;

import org.jspecify.annotations.NullMarked;
