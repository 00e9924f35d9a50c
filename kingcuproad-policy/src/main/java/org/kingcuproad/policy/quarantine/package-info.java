/** Decides which prompts are no longer sent to upstreams because upstreams crashed while they answered them. */
@NullMarked
package org.kingcuproad.policy.quarantine;

import org.jspecify.annotations.NullMarked;
