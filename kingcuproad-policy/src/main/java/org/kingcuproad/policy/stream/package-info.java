/** Whole answers over connections that may go silent: buffering, reassembly and heartbeats. */
@NullMarked
package org.kingcuproad.policy.stream;

import org.jspecify.annotations.NullMarked;
