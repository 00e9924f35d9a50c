/** Decisions of a gateway: routes, discovered upstreams, queueing, refusing and repeating. */
@NullMarked
package org.kingcuproad.policy.gateway;

import org.jspecify.annotations.NullMarked;
