/**
 * Switching the expert map of a group so that all ranks use the same map in every step: the protocol among the ranks,
 * the coordinator and its lease.
 */
@NullMarked
package org.kingcuproad.policy.mapswitch;

import org.jspecify.annotations.NullMarked;
