/** Decisions of a gateway: routing, upstream discovery and selection, queueing, admission and retries. */
@NullMarked
package org.kingcuproad.policy.gateway;

import org.jspecify.annotations.NullMarked;
