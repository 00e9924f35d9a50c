/** Decides how many requests upstreams get that have just started and tolerate only few. */
@NullMarked
package org.kingcuproad.policy.coldstart;

import org.jspecify.annotations.NullMarked;
