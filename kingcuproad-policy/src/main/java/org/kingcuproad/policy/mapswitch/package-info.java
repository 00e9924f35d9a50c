/** One expert map in every step of a group: the switch among its ranks, its coordinator and leases. */
@NullMarked
package org.kingcuproad.policy.mapswitch;

import org.jspecify.annotations.NullMarked;
