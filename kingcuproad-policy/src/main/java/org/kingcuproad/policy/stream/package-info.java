/** Complete responses over connections that may be lost silently: buffering, reassembly and heartbeats. */
@NullMarked
package org.kingcuproad.policy.stream;

import org.jspecify.annotations.NullMarked;
