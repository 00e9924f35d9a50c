/** At-most-once execution of requests: the execution record of an agent and the claim log in the store. */
@NullMarked
package org.kingcuproad.policy.claim;

import org.jspecify.annotations.NullMarked;
